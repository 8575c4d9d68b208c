package saddlesim

import "container/list"

// cache keeps the shared parts of prompts up to a number of tokens and drops
// the least recently used ones.
type cache struct {
	limit int // tokens
	used  int
	order *list.List // of *cached, the latest used first
	parts map[int]*list.Element

	evicted func(template, tokens int)
}

type cached struct {
	template int
	tokens   int
}

func newCache(limit int) *cache {
	return &cache{limit: limit, order: list.New(), parts: map[int]*list.Element{}}
}

// touch reports whether a shared part was held, and holds it.
func (c *cache) touch(template, tokens int) bool {
	if e, ok := c.parts[template]; ok {
		c.order.MoveToFront(e)
		return true
	}
	c.parts[template] = c.order.PushFront(&cached{template: template, tokens: tokens})
	c.used += tokens
	for c.used > c.limit && c.order.Len() > 1 {
		last := c.order.Remove(c.order.Back()).(*cached)
		delete(c.parts, last.template)
		c.used -= last.tokens
		if c.evicted != nil {
			c.evicted(last.template, last.tokens)
		}
	}
	return false
}
