package saddleroute

import "github.com/fireflysaddle/fireflysaddle"

// Requirements is what a request needs of its targets.
type Requirements struct {
	Group    string
	Version  string // empty: any
	Kind     fireflysaddle.TargetKind
	Work     fireflysaddle.Work
	Prefixes []Prefix                        // of the prompt, the shortest first
	Avoid    map[fireflysaddle.TargetID]bool // targets that failed this request
}
