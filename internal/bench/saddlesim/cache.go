package saddlesim

import "container/list"

// prefixCache is an LRU cache of shared prompt prefixes, by template. Its
// capacity is in tokens.
type prefixCache struct {
	capacity int                   // tokens
	used     int                   // tokens
	recency  *list.List            // elements of type *cachedPrefix, most recently used first
	elements map[int]*list.Element // elements of recency, by template

	onEvict func(template, tokens int)
}

type cachedPrefix struct {
	template int
	tokens   int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, recency: list.New(), elements: map[int]*list.Element{}}
}

// touch marks the shared prefix of a template as the most recently used one and
// reports whether the prefix was already cached. If it was not, touch caches it
// and evicts the least recently used prefixes until the cache fits its capacity.
// A prefix larger than the capacity is cached nonetheless, without any other.
func (c *prefixCache) touch(template, tokens int) bool {
	if e, ok := c.elements[template]; ok {
		c.recency.MoveToFront(e)
		return true
	}
	c.elements[template] = c.recency.PushFront(&cachedPrefix{template: template, tokens: tokens})
	c.used += tokens
	for c.used > c.capacity && c.recency.Len() > 1 {
		evicted := c.recency.Remove(c.recency.Back()).(*cachedPrefix)
		delete(c.elements, evicted.template)
		c.used -= evicted.tokens
		if c.onEvict != nil {
			c.onEvict(evicted.template, evicted.tokens)
		}
	}
	return false
}
