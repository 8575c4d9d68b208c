package saddlegate

import "time"

// Load is the load of the target behind a gate. The counts are exact.
type Load struct {
	Running       int
	Queued        int
	Finished      uint64        // requests that have ended since the gate was created
	EstimatedWait time.Duration // predicted wait of a new request
}
