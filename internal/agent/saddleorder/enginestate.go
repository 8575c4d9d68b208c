package saddleorder

import "github.com/fireflysaddle/fireflysaddle"

// EngineState is the actual or the desired state of an engine.
type EngineState struct {
	Group           fireflysaddle.Group
	Version         fireflysaddle.Version // empty in a desired state: the version stays unchanged
	Role            string                // empty in a desired state: the role stays unchanged
	Adapters        []string              // sorted
	OrderInProgress string                // subject of the order that the engine is executing; set in an actual state only
}

// The actions of orders. The comments say what the subject of the order names.
const (
	ActionLoad    = "load"    // model group to load
	ActionVersion = "version" // version of the model to load
	ActionAdapter = "adapter" // adapter to load
	ActionUnload  = "unload"  // adapter to unload
	ActionRole    = "role"    // role to take
)
