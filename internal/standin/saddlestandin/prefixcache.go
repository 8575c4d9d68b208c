package saddlestandin

import (
	"slices"
	"sync"
)

// CacheEvent reports that a prompt prefix was added to the prefix cache of an
// engine or evicted from it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"` // a gap means that events were lost
	Prefix   uint64 `json:"prefix"`   // hash of the prefix
	Tokens   int    `json:"tokens"`   // length of the prefix
	Evicted  bool   `json:"evicted"`
}

// prefixBlockTokens is the block size of the prefix cache in tokens.
const prefixBlockTokens = 16

// prefixCache is an LRU cache of prompt prefixes, limited in tokens. It is safe
// for concurrent use.
type prefixCache struct {
	mu              sync.Mutex
	limit           int // tokens
	usedTokens      int
	lru             []uint64       // hashes of prefixes, least recently used first
	lengths         map[uint64]int // number of tokens of each cached prefix, by its hash
	sequence        uint64         // sequence number of the latest event
	eventDropPeriod uint64         // every n-th event is dropped; 0: none
	events          []CacheEvent
}

func newPrefixCache(limit int, eventDropPeriod uint64) *prefixCache {
	return &prefixCache{limit: limit, eventDropPeriod: eventDropPeriod, lengths: map[uint64]int{}}
}

// touch caches the prefixes of a prompt that end with a full block. It returns the
// length in tokens of the longest of them that was already cached.
func (c *prefixCache) touch(tokens []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cachedTokens := 0
	hash := uint64(0)
	for end := prefixBlockTokens; end <= len(tokens); end += prefixBlockTokens {
		for _, token := range tokens[end-prefixBlockTokens : end] {
			hash = hashWords(hash, embed(token))
		}
		if _, ok := c.lengths[hash]; ok {
			cachedTokens = end
			c.lru = slices.DeleteFunc(c.lru, func(h uint64) bool { return h == hash })
			c.lru = append(c.lru, hash)
			continue
		}
		c.insert(hash, end)
	}
	return cachedTokens
}

func (c *prefixCache) insert(hash uint64, length int) {
	c.lengths[hash] = length
	c.lru = append(c.lru, hash)
	c.usedTokens += prefixBlockTokens
	c.publish(CacheEvent{Prefix: hash, Tokens: length})
	for c.usedTokens > c.limit && len(c.lru) > 1 {
		oldest := c.lru[0]
		c.lru = c.lru[1:]
		c.publish(CacheEvent{Prefix: oldest, Tokens: c.lengths[oldest], Evicted: true})
		delete(c.lengths, oldest)
		c.usedTokens -= prefixBlockTokens
	}
}

func (c *prefixCache) publish(e CacheEvent) {
	c.sequence++
	e.Sequence = c.sequence
	if c.eventDropPeriod > 0 && c.sequence%c.eventDropPeriod == 0 {
		return
	}
	c.events = append(c.events, e)
}

// eventsAfter returns the events with a sequence number above the given one. It
// leaves out dropped events.
func (c *prefixCache) eventsAfter(sequence uint64) []CacheEvent {
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
