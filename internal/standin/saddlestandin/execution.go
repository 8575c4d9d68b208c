package saddlestandin

import "fmt"

// Execution is one position of one attempt that ran through an engine's layers,
// or the import of a KV cache.
type Execution struct {
	Engine    string
	Request   string
	Attempt   uint32
	Position  uint32
	LayerFrom uint32 // layers [From, To)
	To        uint32
	Imported  bool // the engine was given the cache of all positions before Position
}

// OrderError says that a layer ran a position twice, left one out, or ran them
// out of order.
type OrderError struct {
	Execution Execution
	Want      uint32
}

// Error names the execution and the position that was due.
func (e *OrderError) Error() string {
	return fmt.Sprintf("request %q attempt %d: layers [%d,%d) ran position %d at %q, position %d was due",
		e.Execution.Request, e.Execution.Attempt, e.Execution.LayerFrom, e.Execution.To, e.Execution.Position, e.Execution.Engine, e.Want)
}

// CheckOrder returns an *OrderError unless every layer ran the positions of
// each attempt exactly once, in order, and no cache was imported.
func CheckOrder(executions []Execution) error {
	return CheckOrderAfterLoss(executions)
}

// CheckOrderAfterLoss is CheckOrder for a history in which the named engines were
// lost. It returns an *OrderError unless
//
//   - each engine by itself ran the positions of an attempt in order and once,
//     from 0 or from what it imported,
//   - no layer of an attempt was run by two engines that were not lost,
//   - an imported cache covers no more than a lost engine held, and
//   - only a successor of a lost engine imported anything.
func CheckOrderAfterLoss(executions []Execution, lost ...string) error {
	c := lineage{lost: map[string]bool{}, next: map[held]uint32{}, holders: map[layerOf]map[string]bool{}}
	for _, id := range lost {
		c.lost[id] = true
	}
	for _, e := range executions {
		if err := c.check(e); err != nil {
			return err
		}
	}
	return nil
}

// layerOf is one layer of one attempt.
type layerOf struct {
	request string
	attempt uint32
	layer   uint32
}

// held is what one engine holds of one layer of one attempt.
type held struct {
	layerOf
	engine string
}

// lineage follows what each engine holds.
type lineage struct {
	lost    map[string]bool
	next    map[held]uint32
	holders map[layerOf]map[string]bool // engines that held the layer
}

func (c *lineage) check(e Execution) error {
	for l := e.LayerFrom; l < e.To; l++ {
		k := layerOf{request: e.Request, attempt: e.Attempt, layer: l}
		h := held{layerOf: k, engine: e.Engine}
		if err := c.checkHolders(k, e); err != nil {
			return err
		}
		if e.Imported {
			if best := c.heldByLost(k, e.Engine); e.Position > best {
				return &OrderError{Execution: e, Want: best}
			}
			c.next[h] = e.Position
			continue
		}
		if c.next[h] != e.Position {
			return &OrderError{Execution: e, Want: c.next[h]}
		}
		c.next[h]++
	}
	return nil
}

// checkHolders refuses a second engine beside one that was not lost.
func (c *lineage) checkHolders(k layerOf, e Execution) error {
	if c.holders[k] == nil {
		c.holders[k] = map[string]bool{}
	}
	c.holders[k][e.Engine] = true
	for other := range c.holders[k] {
		if other != e.Engine && !c.lost[other] && !c.lost[e.Engine] {
			return &OrderError{Execution: e, Want: c.next[held{layerOf: k, engine: other}]}
		}
	}
	return nil
}

// heldByLost returns the most positions of a layer that a lost engine held.
func (c *lineage) heldByLost(k layerOf, importer string) uint32 {
	best := uint32(0)
	for other := range c.holders[k] {
		if c.lost[other] && other != importer {
			best = max(best, c.next[held{layerOf: k, engine: other}])
		}
	}
	return best
}
