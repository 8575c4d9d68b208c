package saddlegateway

import "strconv"

// attemptIDs tells which events of an attempt repeat an earlier event of the same attempt.
type attemptIDs struct {
	seen bool
	last uint64 // highest identifier of the attempt
}

// advance records the identifier of an event, and reports whether it is higher than all
// before. An identifier that is not a number counts as higher.
func (a *attemptIDs) advance(id string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return true
	}
	if a.seen && n <= a.last {
		return false
	}
	a.seen, a.last = true, n
	return true
}
