package saddlestandin

import "sync"

// Journal records the executions of any number of engines in the order in which
// they ran. It is safe for concurrent use.
type Journal struct {
	mu         sync.Mutex
	executions []Execution
}

// Add records executions.
func (j *Journal) Add(e ...Execution) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executions = append(j.executions, e...)
}

// All returns all recorded executions.
func (j *Journal) All() []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Execution(nil), j.executions...)
}
