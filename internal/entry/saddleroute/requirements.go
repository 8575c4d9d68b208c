package saddleroute

import "github.com/fireflysaddle/fireflysaddle"

// Requirements holds the constraints that a request puts on its targets and the data
// that the choice depends on.
type Requirements struct {
	Group    string
	Version  string // empty: any version
	Kind     fireflysaddle.TargetKind
	Work     fireflysaddle.Work
	Prefixes []Prefix                        // prefixes of the prompt, shortest first
	Avoid    map[fireflysaddle.TargetID]bool // targets that failed this request
}
