package saddleadmission

import (
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	// minReturn is the shortest time after which a caller is told to return. Requests that
	// end sooner are counted already in the free room.
	minReturn = 200 * time.Millisecond
	// returnPart is the part of the time that a caller has left up to which callers wait
	// before they return, as the platform states it.
	returnPart = 3
	// unplacedSpread is returnSpread for callers without a place, which come when they stop
	// waiting.
	unplacedSpread = 0.5
	// returnSpread is the fraction of a time of return by which returns are spread.
	returnSpread = 0.2
	// early and late are how long before and after its time a caller may return and be
	// served as promised. The times differ by round trips and new connections.
	early = 50 * time.Millisecond
	late  = time.Second
	// maxPlaces bounds the places that are remembered.
	maxPlaces = 1000
)

// place is a time at which a caller was told to return.
type place struct {
	room        bool // is kept for the caller
	fingerprint string
	rank        Rank
	workspace   fireflysaddle.Workspace
	tokens      Tokens
	wait        time.Duration // from the refusal to at
	at          time.Time
}

// places are the times of return that were given, in their order. A caller may return to another
// entry, which knows nothing of its place. Therefore a caller that has evidently waited takes
// the place of another one that is due: callers are spread over the entries in the same way
// each time, so places and returns are equally many.
type places struct{ list []place }

// promise returns how long the caller of a request should wait, and whether room is kept for it
// then. It is if there is room after wait, and the caller waits so long.
func (p *places) promise(now time.Time, r Request, wait time.Duration, draw float64) (time.Duration, bool) {
	p.forget(now)
	limit := max(minReturn, r.Deadline.Sub(now)/returnPart)
	wait = time.Duration(float64(max(wait, minReturn)) * (1 + returnSpread*draw))
	room := wait <= limit && len(p.list) < maxPlaces
	if wait > limit {
		wait = time.Duration(float64(limit) * (1 - unplacedSpread*draw))
	}
	at := now.Add(wait)
	if len(p.list) < maxPlaces {
		i, _ := slices.BinarySearchFunc(p.list, at, func(x place, t time.Time) int { return x.at.Compare(t) })
		p.list = slices.Insert(p.list, i, place{room: room, fingerprint: r.Fingerprint, rank: r.Rank, workspace: r.Workspace, tokens: r.Tokens, wait: wait, at: at})
	}
	return wait, room
}

// take reports whether a caller returns after a refusal of this or another entry, and whether
// room is kept for it. It uses up its place, or that of a caller that is due elsewhere. A caller
// that is early keeps its place.
func (p *places) take(now time.Time, fingerprint string, elapsed time.Duration) (returned, room bool) {
	p.forget(now)
	i := slices.IndexFunc(p.list, func(x place) bool { return x.fingerprint == fingerprint })
	if i >= 0 && now.Before(p.list[i].at.Add(-early)) {
		return true, false
	}
	if i < 0 {
		i = slices.IndexFunc(p.list, func(x place) bool { return !now.Before(x.at.Add(-early)) && elapsed >= x.wait })
	}
	if i < 0 {
		return false, false
	}
	room = p.list[i].room
	p.list = slices.Delete(p.list, i, i+1)
	return true, room
}

// due returns the tokens for which room is kept up to a time, of requests of a rank or more urgent
// ones, and of a workspace or of all.
func (p *places) due(rank Rank, until time.Time, workspace fireflysaddle.Workspace) Tokens {
	var sum Tokens
	for _, x := range p.list {
		if x.room && x.rank <= rank && x.at.Before(until) && (workspace == "" || x.workspace == workspace) {
			sum += x.tokens
		}
	}
	return sum
}

// forget removes the places whose callers have not come.
func (p *places) forget(now time.Time) {
	p.list = slices.DeleteFunc(p.list, func(x place) bool { return now.After(x.at.Add(late)) })
}
