package saddleentry

import "expvar"

// Metrics of the entry; docs/OPERATIONS.md lists them with their units.
var (
	countRequests        = expvar.NewInt("entry_requests_total")
	countRefusals        = expvar.NewInt("entry_refusals_total")
	countAnswers         = expvar.NewInt("entry_answers_total")
	countUnknownOutcomes = expvar.NewInt("entry_unknown_outcomes_total")
	countAttempts        = expvar.NewInt("entry_attempts_total")
	countProbes          = expvar.NewInt("entry_vouches_total")
	countRetries         = expvar.NewInt("entry_retries_total")
	countTokens          = expvar.NewInt("entry_tokens_total")
	countClaims          = expvar.NewInt("entry_claims_total")
	countReplayedAnswers = expvar.NewInt("entry_replayed_answers_total")
	countStrayEvents     = expvar.NewInt("entry_stray_answers_total")
)
