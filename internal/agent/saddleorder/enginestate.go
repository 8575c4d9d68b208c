package saddleorder

import "github.com/fireflysaddle/fireflysaddle"

// EngineState is the actual or the desired state of an engine.
type EngineState struct {
	Group           fireflysaddle.Group
	Version         fireflysaddle.Version
	Role            string   // in a desired state, empty leaves the role unchanged
	Adapters        []string // sorted
	OrderInProgress string   // in an actual state, subject of the order that the engine is executing
}

// The actions of orders, with the meaning of an order's subject.
const (
	ActionLoad    = "load"    // model group
	ActionVersion = "version" // version of the model
	ActionAdapter = "adapter" // adapter to load
	ActionUnload  = "unload"  // adapter to unload
	ActionRole    = "role"    // role
)
