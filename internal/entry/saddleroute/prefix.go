package saddleroute

import (
	"unicode"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// Prefix identifies the first tokens of a prompt.
type Prefix struct {
	Hash   uint64
	Tokens int
}

const (
	firstPrefix = 16 // tokens; each further prefix is twice as long
	maxPrefixes = 10
)

// Prefixes returns the prefixes of a prompt by which targets are remembered,
// and the number of its words, which stand for tokens.
func Prefixes(prompt string) (prefixes []Prefix, words int) {
	h := xxhash.New()
	next := firstPrefix
	hashed := 0
	inWord := false
	for at, c := range prompt {
		space := unicode.IsSpace(c)
		if inWord && space && words == next && len(prefixes) < maxPrefixes {
			_, _ = h.WriteString(prompt[hashed:at])
			hashed = at
			prefixes = append(prefixes, Prefix{Hash: h.Sum64(), Tokens: words})
			next *= 2
		}
		if !inWord && !space && c != utf8.RuneError {
			words++
		}
		inWord = !space
	}
	return prefixes, words
}
