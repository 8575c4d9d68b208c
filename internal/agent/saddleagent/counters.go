package saddleagent

import "expvar"

// Counters of the agent role. docs/OPERATIONS.md lists them with their units.
var (
	countReceived      = expvar.NewInt("agent_requests_total")
	countRefused       = expvar.NewInt("agent_refusals_total")
	countStarted       = expvar.NewInt("agent_started_total")
	countFaults        = expvar.NewInt("agent_faults_total")
	countTokens        = expvar.NewInt("agent_tokens_total")
	countSeals         = expvar.NewInt("agent_seals_total")
	countOrders        = expvar.NewInt("agent_orders_total")
	countStaleFences   = expvar.NewInt("agent_old_fences_total")
	countAnnouncements = expvar.NewInt("agent_announcements_total")
)
