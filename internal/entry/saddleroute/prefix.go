package saddleroute

import (
	"unicode"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// Prefix identifies the first tokens of a prompt by their hash.
type Prefix struct {
	Hash   uint64
	Tokens int
}

const (
	firstPrefixTokens = 16 // length of the shortest prefix; each further prefix is twice as long as the previous one
	maxPrefixes       = 10 // maximum number of prefixes of one prompt
)

// Prefixes returns the prefixes of a prompt that serve as keys of the prefix
// hints, and the number of its words, which approximates the number of tokens.
func Prefixes(prompt string) (prefixes []Prefix, words int) {
	h := xxhash.New()
	nextLength := firstPrefixTokens
	hashedBytes := 0
	inWord := false
	for i, c := range prompt {
		space := unicode.IsSpace(c)
		if inWord && space && words == nextLength && len(prefixes) < maxPrefixes {
			_, _ = h.WriteString(prompt[hashedBytes:i])
			hashedBytes = i
			prefixes = append(prefixes, Prefix{Hash: h.Sum64(), Tokens: words})
			nextLength *= 2
		}
		if !inWord && !space && c != utf8.RuneError {
			words++
		}
		inWord = !space
	}
	return prefixes, words
}
