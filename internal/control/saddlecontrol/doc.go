// Package saddlecontrol runs a control replica. One goroutine, the core, owns the
// replicated log, the state and the member table; other goroutines serve the
// network and exchange events with it.
package saddlecontrol
