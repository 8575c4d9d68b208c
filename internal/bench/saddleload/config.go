package saddleload

import "time"

// ArrivalPattern is the pattern of the arrival times of requests.
type ArrivalPattern string

// The arrival patterns.
const (
	Steady ArrivalPattern = "steady" // a Poisson process
	Bursts ArrivalPattern = "bursts" // the same mean rate, half of the requests in regular bursts
)

// Config describes a workload.
type Config struct {
	Seed            uint64
	ArrivalPattern  ArrivalPattern
	Rate            float64 // mean number of requests per second
	TotalDuration   time.Duration
	Workspaces      int
	Templates       int           // number of prompt templates, each a shared prefix of prompts
	ServiceFraction float64       // fraction of the requests that are service calls
	Timeout         time.Duration // time within which callers need the answer; 0: no limit
}

const (
	burstInterval     = 20 * time.Second       // time between the starts of two bursts
	burstFraction     = 0.5                    // fraction of the requests that come in bursts
	burstDuration     = 500 * time.Millisecond // duration of a burst
	largeFraction     = 0.6                    // fraction of the requests that come from the large workspaces
	largeWorkspaces   = 3                      // number of large workspaces
	minSharedTokens   = 100                    // shortest shared prefix
	maxSharedTokens   = 800                    // longest shared prefix
	minUnsharedTokens = 20                     // fewest prompt tokens after the shared prefix
	maxUnsharedTokens = 200                    // most prompt tokens after the shared prefix
	minMaxTokens      = 64                     // lowest MaxTokens of a draft
	maxMaxTokens      = 256                    // highest MaxTokens of a draft
	minUsedFraction   = 0.4                    // least fraction of MaxTokens that is generated
	templateExponent  = 1.1                    // exponent of the Zipf distribution of templates
	shortestPrefix    = 16                     // length of the shortest prefix in tokens; each further prefix is twice as long as the one before
)

// MeanTokens is the mean number of tokens that are generated for a draft.
const MeanTokens = (minMaxTokens + maxMaxTokens) / 2 * (minUsedFraction + 1) / 2
