package saddlegate

import "time"

// Load is the exact load of the target behind a gate.
type Load struct {
	Running       int
	Queued        int
	Finished      uint64        // requests ended since the start
	EstimatedWait time.Duration // predicted wait of a new request
}
