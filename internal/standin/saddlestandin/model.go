package saddlestandin

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabularySize is the number of distinct tokens.
const vocabularySize = 4096

const activationBytes = 8

// layerState is a hash over the previous positions of one layer and simulates
// its KV cache. A position that was skipped, repeated or run out of order
// changes every later token.
type layerState uint64

// forward runs one position through one layer.
func (s *layerState) forward(layer uint32, position uint32, in uint64) uint64 {
	*s = layerState(hashWords(uint64(*s), in, uint64(position)))
	return hashWords(in, uint64(layer), uint64(*s))
}

func hashWords(parts ...uint64) uint64 {
	buf := make([]byte, 0, 32)
	for _, p := range parts {
		buf = binary.LittleEndian.AppendUint64(buf, p)
	}
	return xxhash.Sum64(buf)
}

// embed returns the input activation of the first layer for a token.
func embed(token string) uint64 {
	return xxhash.Sum64String(strings.TrimSpace(token))
}

// sample returns the token for an output activation of the last layer.
func sample(activation uint64) string {
	return " w" + strconv.FormatUint(activation%vocabularySize, 10)
}

// tokenize splits a prompt into tokens at white space.
func tokenize(prompt string) []string {
	return strings.Fields(prompt)
}

// ExpectedTokens returns the first n tokens that a model with this number of layers
// generates for a prompt.
func ExpectedTokens(prompt string, layers, n uint32) []string {
	states := make([]layerState, layers)
	tokens := tokenize(prompt)
	var out []string
	position := uint32(0)
	var activation uint64
	for len(out) < int(n) {
		for _, token := range tokens {
			activation = embed(token)
			for l := range states {
				activation = states[l].forward(uint32(l), position, activation)
			}
			position++
		}
		out = append(out, sample(activation))
		tokens = []string{out[len(out)-1]}
	}
	return out
}

func encodeActivations(values []uint64) []byte {
	buf := make([]byte, 0, len(values)*activationBytes)
	for _, v := range values {
		buf = binary.LittleEndian.AppendUint64(buf, v)
	}
	return buf
}

func decodeActivations(data []byte) []uint64 {
	out := make([]uint64, 0, len(data)/activationBytes)
	for ; len(data) >= activationBytes; data = data[activationBytes:] {
		out = append(out, binary.LittleEndian.Uint64(data))
	}
	return out
}
