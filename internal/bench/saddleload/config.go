package saddleload

import "time"

// Shape is the pattern of arrivals.
type Shape string

// The shapes.
const (
	Steady Shape = "steady" // a Poisson process
	Bursts Shape = "bursts" // the same mean rate, half of it in bursts at podium calls
)

// Config describes a load.
type Config struct {
	Seed            uint64
	Shape           Shape
	Rate            float64 // requests a second
	Length          time.Duration
	Workspaces      int
	Templates       int     // shared parts of prompts
	ServiceFraction float64 // of the requests
	Patience        time.Duration
}

const (
	burstEvery    = 20 * time.Second
	burstShare    = 0.5                    // of the requests come in bursts
	burstLength   = 500 * time.Millisecond // within which a burst comes
	largeShare    = 0.6                    // of the requests come from the large workspaces
	largeOnes     = 3                      // workspaces
	minShared     = 100                    // tokens
	maxShared     = 800                    // tokens
	minOwn        = 20                     // prompt tokens that are not shared
	maxOwn        = 200                    // tokens
	minMax        = 64                     // allowed tokens
	maxMax        = 256                    // allowed tokens
	minUsed       = 0.4                    // of the allowed tokens are generated at least
	templateSkew  = 1.1                    // exponent of the Zipf law of templates
	firstBoundary = 16                     // tokens of the shortest prefix
)

// MeanTokens is the mean number of tokens that a draft generates.
const MeanTokens = (minMax + maxMax) / 2 * (minUsed + 1) / 2
