package saddlectl

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// The time between looks at who has confirmed grows: each look reads the whole
// state.
const (
	firstPoll = 100 * time.Millisecond
	lastPoll  = time.Second
)

// spread says how far a configuration has come. It counts only what the
// processes themselves confirmed.
type spread struct {
	Confirmed int      `json:"confirmed"`
	Members   int      `json:"members"`
	Missing   []behind `json:"not_confirmed,omitempty"`
}

// behind is a process that has not confirmed a configuration.
type behind struct {
	Node     string `json:"node"`
	Revision uint64 `json:"revision"`        // the configuration in force there
	Since    string `json:"since,omitempty"` // when that one came into force there
}

func spreadOf(state *saddlewire.ReadResponse, index uint64) *spread {
	out := &spread{Members: len(state.GetMembers())}
	for _, m := range state.GetMembers() {
		if m.GetRevision() >= index {
			out.Confirmed++
			continue
		}
		b := behind{Node: m.GetNode(), Revision: m.GetRevision()}
		if m.GetSinceNs() > 0 {
			b.Since = time.Unix(0, m.GetSinceNs()).UTC().Format(time.RFC3339)
		}
		out.Missing = append(out.Missing, b)
	}
	return out
}

// whole reports whether every member confirmed, and there is one.
func (p *spread) whole() bool { return p.Members > 0 && len(p.Missing) == 0 }

func (p *spread) missing() []string {
	var out []string
	for _, b := range p.Missing {
		out = append(out, b.Node)
	}
	return out
}

// awaitInForce waits until every member has confirmed a configuration and
// shows how it comes along. A read that fails is tried again until the time
// is up: the change is accepted, whatever becomes of the wait.
func (s *session) awaitInForce(ctx context.Context, index uint64) (*spread, error) {
	ctx, cancel := context.WithTimeout(ctx, s.waitFor)
	defer cancel()
	last := &spread{}
	shown := -1
	for poll := firstPoll; ; poll = min(2*poll, lastPoll) {
		if state, err := s.read(ctx); err == nil {
			last = spreadOf(state, index)
		}
		if last.Confirmed != shown {
			shown = last.Confirmed
			s.progress("in force on %d of %d", last.Confirmed, last.Members)
		}
		if last.whole() {
			return last, nil
		}
		select {
		case <-ctx.Done():
			return last, &slowError{revision: index, missing: last.missing()}
		case <-time.After(poll):
		}
	}
}
