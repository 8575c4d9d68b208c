package saddlestandin

import "fmt"

// Execution is one position of one attempt that ran through an engine's layers.
type Execution struct {
	Engine   string
	Request  string
	Attempt  uint32
	Position uint32
	From     uint32 // layers [From, To)
	To       uint32
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
		e.Execution.Request, e.Execution.Attempt, e.Execution.From, e.Execution.To, e.Execution.Position, e.Execution.Engine, e.Want)
}

// CheckOrder returns an *OrderError unless every layer ran the positions of
// each attempt exactly once, in order.
func CheckOrder(executions []Execution) error {
	type layer struct {
		request string
		attempt uint32
		layer   uint32
	}
	next := map[layer]uint32{}
	for _, e := range executions {
		for l := e.From; l < e.To; l++ {
			k := layer{request: e.Request, attempt: e.Attempt, layer: l}
			if next[k] != e.Position {
				return &OrderError{Execution: e, Want: next[k]}
			}
			next[k]++
		}
	}
	return nil
}
