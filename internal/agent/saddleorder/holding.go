package saddleorder

import "github.com/fireflysaddle/fireflysaddle"

// Holding is what an engine holds, or is wanted to hold.
type Holding struct {
	Group    fireflysaddle.Group
	Version  fireflysaddle.Version
	Role     string   // wanted: empty leaves it as it is
	Adapters []string // sorted
	Loading  string   // actual: subject of the order being carried out
}

// The actions of orders.
const (
	ActionLoad    = "load"    // subject: model
	ActionVersion = "version" // subject: version of the model
	ActionAdapter = "adapter" // subject: adapter to load
	ActionUnload  = "unload"  // subject: adapter to drop
	ActionRole    = "role"    // subject: role
)
