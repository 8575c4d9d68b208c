package saddleregistry

import (
	"container/list"
	"iter"
)

// changeList orders targets by the version of their latest change. There is a subscriber for
// each node, so an update must cost as much as what changed, and not as much as the table.
type changeList struct {
	order *list.List // of change, the latest last
	byID  map[string]*list.Element
}

type change struct {
	id      string
	version uint64
}

func newChangeList() changeList {
	return changeList{order: list.New(), byID: map[string]*list.Element{}}
}

// add records a change. Its version must exceed those of all earlier changes.
func (c *changeList) add(id string, version uint64) {
	c.remove(id)
	c.byID[id] = c.order.PushBack(change{id: id, version: version})
}

func (c *changeList) remove(id string) {
	if e, ok := c.byID[id]; ok {
		c.order.Remove(e)
		delete(c.byID, id)
	}
}

// since returns the targets that changed after a version, the latest change first.
func (c *changeList) since(version uint64) iter.Seq[string] {
	return func(yield func(string) bool) {
		for e := c.order.Back(); e != nil; e = e.Prev() {
			ch, ok := e.Value.(change)
			if !ok || ch.version <= version || !yield(ch.id) {
				return
			}
		}
	}
}
