package saddlegateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// Config holds what a gateway needs.
type Config struct {
	Forwarder fireflysaddle.Forwarder
	Fleet     *saddlefleet.Fleet
	// KeyLease is how long after the last word from a majority keys are good; 0:
	// without bound.
	KeyLease time.Duration
	// RetryShare and RetryReserve bound the requests that are sent again to one
	// group, by all entries together: as a part of the first ones, and beyond it.
	RetryShare   float64
	RetryReserve float64
	// Grant asks for repeated sendings to a group beyond this entry's part, of which
	// all entries are granted up to a limit; nil: there is nobody to ask.
	GrantRetries func(ctx context.Context, group fireflysaddle.Group, want, limit int) int
	Log          zerolog.Logger
}

// State is the routing configuration that a gateway serves by.
type State struct {
	Routing   *saddlerouting.Routing // nil: none is known
	Confirmed time.Time              // as of when a majority held nothing newer
}
