package saddleentry

import "expvar"

// Counters of the entry role; docs/OPERATIONS.md lists them with units.
var (
	countRequests = expvar.NewInt("entry_requests_total")
	countRefused  = expvar.NewInt("entry_refusals_total")
	countAnswered = expvar.NewInt("entry_answers_total")
	countUnknown  = expvar.NewInt("entry_unknown_outcomes_total")
	countAttempts = expvar.NewInt("entry_attempts_total")
	countVouches  = expvar.NewInt("entry_vouches_total")
	countRetries  = expvar.NewInt("entry_retries_total")
	countTokens   = expvar.NewInt("entry_tokens_total")
	countClaims   = expvar.NewInt("entry_claims_total")
	countReplayed = expvar.NewInt("entry_replayed_answers_total")
	countStrays   = expvar.NewInt("entry_stray_answers_total")
)
