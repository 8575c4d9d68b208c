package saddlefleet

import (
	"hash/fnv"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	// limitMemory is how long a limit that a target stated holds without further answers
	// of the target.
	limitMemory = 30 * time.Second
	// limitBurst is the time for which an entry can save up its share of a limit, so that
	// requests need not come at even intervals.
	limitBurst = time.Second
	// maxLimitWait bounds the wait for this entry's share of a limit that callers are told.
	// When they return, they may reach an entry with a larger share.
	maxLimitWait = time.Second
)

// limit bounds the requests per second that a target accepts from all entries together. Each
// entry uses a share of it, as a token bucket.
type limit struct {
	rate     fireflysaddle.RequestRate // latest statement in an answer to this entry
	statedAt time.Time                 // its time; zero: none holds
	endedAt  time.Time                 // time of the latest answer that ended a statement

	peerRate   fireflysaddle.RequestRate // as control lists it
	peersSince time.Time                 // time since which control lists it; zero: it does not
	share      float64                   // this entry's share as control last divided the limit; 0: unknown

	tokens     float64 // requests that may be sent
	refilledAt time.Time
	demand     decayingCount // requests that this entry would have sent while the limit held
}

// current returns the limit that holds, if one does. What the target last answered to this
// entry counts for more than what other entries reported before.
func (l *limit) current(now time.Time) (rate fireflysaddle.RequestRate, limited bool) {
	switch {
	case l.stated(now):
		return l.rate, true
	case !l.peersSince.IsZero() && !l.endedAt.After(l.peersSince):
		return l.peerRate, true
	}
	return 0, false
}

// stated reports whether a limit holds that the target stated to this entry.
func (l *limit) stated(now time.Time) bool {
	return !l.statedAt.IsZero() && now.Sub(l.statedAt) < limitMemory
}

// ownRate returns this entry's part of the limit that holds, in requests per second. entries
// is the number of entries by which a limit is divided that control has not divided yet.
func (l *limit) ownRate(now time.Time, entries int) float64 {
	rate, _ := l.current(now)
	share := l.share
	if share == 0 {
		share = 1 / float64(max(1, entries))
	}
	return float64(rate) * share
}

// refill adds the tokens of the time since the last refill.
func (l *limit) refill(now time.Time, entries int) {
	rate := l.ownRate(now, entries)
	added := rate * max(0, now.Sub(l.refilledAt).Seconds())
	l.tokens = min(l.tokens+added, max(1, rate*limitBurst.Seconds()))
	l.refilledAt = now
}

// accepts reports whether this entry may send one more request.
func (l *limit) accepts(now time.Time, entries int) bool {
	if _, limited := l.current(now); !limited {
		return true
	}
	l.refill(now, entries)
	return l.tokens >= 1
}

// next returns the time at which this entry may send the next request, or the end of
// maxLimitWait if that is earlier.
func (l *limit) next(now time.Time, entries int) time.Time {
	if l.accepts(now, entries) {
		return now
	}
	seconds := (1 - l.tokens) / l.ownRate(now, entries)
	return now.Add(time.Duration(min(seconds, maxLimitWait.Seconds()) * float64(time.Second)))
}

func (l *limit) recordSend(now time.Time) {
	if _, limited := l.current(now); limited {
		l.tokens--
	}
}

// begin starts the token bucket when a limit begins to hold. It begins with a fraction of a
// token that differs between entries. With a whole token at each of many entries, their
// first requests would exceed a low limit.
func (l *limit) begin(now time.Time, node string, id fireflysaddle.TargetID) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(node + "/" + string(id)))
	l.tokens, l.refilledAt = float64(h.Sum32())/(1<<32), now
	l.demand.reset()
}
