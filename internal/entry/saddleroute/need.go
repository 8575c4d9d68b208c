package saddleroute

import "github.com/fireflysaddle/fireflysaddle"

// Need is what a request needs of its targets.
type Need struct {
	Group    string
	Version  string // empty: any
	Kind     fireflysaddle.TargetKind
	Work     fireflysaddle.Work
	Prefixes []Prefix                        // of the prompt, the shortest first
	Avoid    map[fireflysaddle.TargetID]bool // targets that failed this request
}
