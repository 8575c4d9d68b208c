package saddlegateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlebudget"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	Node      string // of this entry
	Centre    string // of this entry
	Forwarder fireflysaddle.Forwarder
	Fleet     *saddlefleet.Fleet
	Limits    Limits // until SetLimits is called
	// GrantRetries requests retries to a group beyond this entry's own budget and
	// returns the number granted; limit bounds what all entries are granted together.
	// If GrantRetries is nil, no further retries are available.
	GrantRetries func(ctx context.Context, group fireflysaddle.Group, want, limit int) int
	// BlamesChanged is called when control is to learn of traits of requests that are
	// suspected or have proved harmless; it must not block. nil: nothing is called.
	BlamesChanged func()
	// Budget bounds the requests in progress and the answers. nil: the gateway has one of its
	// own.
	Budget *saddlebudget.Budget
	Log    zerolog.Logger
}

// Limits are the settings that SetLimits can replace.
type Limits struct {
	// KeyLease is how long API keys are accepted after the last confirmation by a
	// control majority; 0 means without limit.
	KeyLease time.Duration
	// RetryShare and RetryReserve bound the retries to one group by all entries
	// together: RetryShare as a fraction of the first sends, RetryReserve as a number
	// of retries beyond it.
	RetryShare   float64
	RetryReserve float64
	// MaxPause bounds the pause for which a target can ask.
	MaxPause time.Duration
}

// State is the routing configuration in use.
type State struct {
	Routing   *saddlerouting.Routing // nil: no configuration has been received
	Confirmed time.Time              // latest time for which a majority of the control replicas confirmed that this version is the newest
}
