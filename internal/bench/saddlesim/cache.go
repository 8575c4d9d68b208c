package saddlesim

import "container/list"

// prefixCache is an LRU cache of shared prompt prefixes, by template. Its
// capacity is in tokens.
type prefixCache struct {
	capacity int // tokens
	used     int
	recency  *list.List // of *cachedPrefix, most recently used first
	elements map[int]*list.Element

	onEvict func(template, tokens int)
}

type cachedPrefix struct {
	template int
	tokens   int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), elements: map[int]*list.Element{}}
}

// touch reports whether the shared prefix of a template was cached, and caches
// it. A single prefix above the capacity is cached nonetheless.
func (c *prefixCache) touch(template, tokens int) bool {
	if e, ok := c.elements[template]; ok {
		c.recency.MoveToFront(e)
		return true
	}
	c.elements[template] = c.recency.PushFront(&cachedPrefix{template: template, tokens: tokens})
	c.used += tokens
	for c.used > c.capacity && c.recency.Len() > 1 {
		last := c.recency.Remove(c.recency.Back()).(*cachedPrefix)
		delete(c.elements, last.template)
		c.used -= last.tokens
		if c.onEvict != nil {
			c.onEvict(last.template, last.tokens)
		}
	}
	return false
}
