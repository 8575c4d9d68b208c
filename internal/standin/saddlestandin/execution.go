package saddlestandin

import "fmt"

// Execution records that an engine ran one position of an attempt through its
// layers, or that it imported a KV cache.
type Execution struct {
	Engine    string
	Request   string
	Attempt   uint32
	Position  uint32
	LayerFrom uint32 // first layer that the engine holds
	LayerTo   uint32 // the layer after the last one that the engine holds
	Imported  bool   // the engine imported the cache of all positions before Position
}

// PositionError reports an execution that breaks a rule of CheckOrderAfterLoss.
// Expected depends on the broken rule:
//
//   - The engine repeated or skipped a position, or ran positions out of order:
//     Expected is the next position of the engine.
//   - Two engines that were not lost held the same layer: Expected is the next
//     position of the other engine.
//   - The engine imported too many positions: Expected is the largest number of
//     positions that a lost engine held.
type PositionError struct {
	Execution Execution
	Expected  uint32
}

// Error names the execution and the expected position.
func (e *PositionError) Error() string {
	return fmt.Sprintf("request %q attempt %d: layers [%d,%d) ran position %d on %q, expected position %d",
		e.Execution.Request, e.Execution.Attempt, e.Execution.LayerFrom, e.Execution.LayerTo, e.Execution.Position, e.Execution.Engine, e.Expected)
}

// CheckOrder returns a *PositionError unless every layer ran the positions of
// each attempt exactly once, in order, and no cache was imported.
func CheckOrder(executions []Execution) error {
	return CheckOrderAfterLoss(executions)
}

// CheckOrderAfterLoss is CheckOrder for a history in which the named engines were
// lost. It returns a *PositionError for the first execution that breaks one of
// these rules:
//
//   - Each engine runs the positions of an attempt once and in order. It starts
//     from position 0 or from the end of the cache that it imported.
//   - Two engines that were not lost never hold the same layer of an attempt. An
//     engine holds the layers that it has run or imported.
//   - An imported cache covers no more positions than another, lost engine held.
//     Without a lost engine, every import of at least one position is an error.
func CheckOrderAfterLoss(executions []Execution, lost ...string) error {
	c := orderChecker{lost: map[string]bool{}, nextPositions: map[engineLayer]uint32{}, engines: map[attemptLayer]map[string]bool{}}
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

// attemptLayer is one layer of one attempt.
type attemptLayer struct {
	request string
	attempt uint32
	layer   uint32
}

// engineLayer is one layer of one attempt on one engine.
type engineLayer struct {
	attemptLayer
	engine string
}

// orderChecker tracks the positions that each engine holds of each layer.
type orderChecker struct {
	lost          map[string]bool
	nextPositions map[engineLayer]uint32
	engines       map[attemptLayer]map[string]bool // engines that held the layer
}

func (c *orderChecker) check(e Execution) error {
	for layer := e.LayerFrom; layer < e.LayerTo; layer++ {
		layerOfAttempt := attemptLayer{request: e.Request, attempt: e.Attempt, layer: layer}
		layerOnEngine := engineLayer{attemptLayer: layerOfAttempt, engine: e.Engine}
		if err := c.checkSingleEngine(layerOfAttempt, e); err != nil {
			return err
		}
		if e.Imported {
			if available := c.lostPositions(layerOfAttempt, e.Engine); e.Position > available {
				return &PositionError{Execution: e, Expected: available}
			}
			c.nextPositions[layerOnEngine] = e.Position
			continue
		}
		if c.nextPositions[layerOnEngine] != e.Position {
			return &PositionError{Execution: e, Expected: c.nextPositions[layerOnEngine]}
		}
		c.nextPositions[layerOnEngine]++
	}
	return nil
}

// checkSingleEngine records that the engine of an execution held a layer of an
// attempt. It returns an error if another engine held the same layer and neither
// of the two was lost.
func (c *orderChecker) checkSingleEngine(k attemptLayer, e Execution) error {
	if c.engines[k] == nil {
		c.engines[k] = map[string]bool{}
	}
	c.engines[k][e.Engine] = true
	for other := range c.engines[k] {
		if other != e.Engine && !c.lost[other] && !c.lost[e.Engine] {
			return &PositionError{Execution: e, Expected: c.nextPositions[engineLayer{attemptLayer: k, engine: other}]}
		}
	}
	return nil
}

// lostPositions returns the largest number of positions of a layer that a lost
// engine other than the importer held.
func (c *orderChecker) lostPositions(k attemptLayer, importer string) uint32 {
	maxPositions := uint32(0)
	for other := range c.engines[k] {
		if c.lost[other] && other != importer {
			maxPositions = max(maxPositions, c.nextPositions[engineLayer{attemptLayer: k, engine: other}])
		}
	}
	return maxPositions
}
