package saddlehttpclient

import "expvar"

// Counters of the connections to targets, documented in docs/OPERATIONS.md.
var (
	countDials         = expvar.NewInt("target_connections_opened_total")
	countDialsByReason = expvar.NewMap("target_connections_by_reason_total")
	countStrayAnswers  = expvar.NewInt("target_stray_answers_total")
)

// dialReason tells why a connection was opened although another one may have been idle.
type dialReason string

const (
	dialNoneIdle dialReason = "none_idle" // no connection to the target was idle
	dialExpired  dialReason = "expired"   // the idle ones had reached the target's idle timeout
	dialNotFresh dialReason = "not_fresh" // the idle ones had been idle too long for a request with FreshConn
	dialClosed   dialReason = "closed"    // the target had closed the idle ones
	dialRepeat   dialReason = "repeat"    // the request must not use an idle one
	dialCheck    dialReason = "check"     // to find out whether the target accepts connections
)

func countDial(reason dialReason) {
	countDials.Add(1)
	countDialsByReason.Add(string(reason), 1)
}
