package saddlestandin

import (
	"slices"
	"sync"
)

// CacheEvent says that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"` // gaps are events that were lost
	Prefix   uint64 `json:"prefix"`   // hash of the prefix
	Tokens   int    `json:"tokens"`
	Evicted  bool   `json:"evicted"`
}

// prefixBlock is the number of tokens by which prefixes are cached.
const prefixBlock = 16

// prefixCache keeps prompt prefixes up to a limit of tokens, dropping those
// used least recently. It is safe for concurrent use.
type prefixCache struct {
	mu       sync.Mutex
	limit    int // tokens
	used     int
	order    []uint64 // least recently used first
	tokens   map[uint64]int
	sequence uint64
	loseEach uint64 // every so many events one is lost, 0: none
	events   []CacheEvent
}

func newPrefixCache(limit int, loseEach uint64) *prefixCache {
	return &prefixCache{limit: limit, loseEach: loseEach, tokens: map[uint64]int{}}
}

// touch returns how many tokens of a prompt were cached, and caches them all.
func (c *prefixCache) touch(tokens []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := 0
	hash := uint64(0)
	for at := prefixBlock; at <= len(tokens); at += prefixBlock {
		for _, token := range tokens[at-prefixBlock : at] {
			hash = mix(hash, embed(token))
		}
		if _, ok := c.tokens[hash]; ok {
			hit = at
			c.order = slices.DeleteFunc(c.order, func(h uint64) bool { return h == hash })
			c.order = append(c.order, hash)
			continue
		}
		c.insert(hash, at)
	}
	return hit
}

func (c *prefixCache) insert(hash uint64, at int) {
	c.tokens[hash] = at
	c.order = append(c.order, hash)
	c.used += prefixBlock
	c.publish(CacheEvent{Prefix: hash, Tokens: at})
	for c.used > c.limit && len(c.order) > 1 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.publish(CacheEvent{Prefix: oldest, Tokens: c.tokens[oldest], Evicted: true})
		delete(c.tokens, oldest)
		c.used -= prefixBlock
	}
}

func (c *prefixCache) publish(e CacheEvent) {
	c.sequence++
	e.Sequence = c.sequence
	if c.loseEach > 0 && c.sequence%c.loseEach == 0 {
		return
	}
	c.events = append(c.events, e)
}

// after returns the events above a sequence number.
func (c *prefixCache) after(sequence uint64) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []CacheEvent
	for _, e := range c.events {
		if e.Sequence > sequence {
			out = append(out, e)
		}
	}
	return out
}
