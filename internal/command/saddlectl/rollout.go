package saddlectl

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// The poll interval doubles up to its maximum, because each poll reads the whole state.
const (
	minPollInterval = 100 * time.Millisecond
	maxPollInterval = time.Second
)

// rolloutStatus counts the members on which a configuration is in force. A member
// counts as confirmed only once it has itself reported this configuration or a later
// one.
type rolloutStatus struct {
	Confirmed    int                 `json:"confirmed"`
	Members      int                 `json:"members"`
	NotConfirmed []unconfirmedMember `json:"not_confirmed,omitempty"`
}

// unconfirmedMember is a member that has not confirmed a configuration.
type unconfirmedMember struct {
	Node     string `json:"node"`
	Revision uint64 `json:"revision"`        // configuration in force on the member
	Since    string `json:"since,omitempty"` // time at which Revision came into force there
}

func newRolloutStatus(state *saddlewire.ReadResponse, configuration uint64) *rolloutStatus {
	out := &rolloutStatus{Members: len(state.GetMembers())}
	for _, m := range state.GetMembers() {
		if m.GetRevision() >= configuration {
			out.Confirmed++
			continue
		}
		member := unconfirmedMember{Node: m.GetNode(), Revision: m.GetRevision()}
		if m.GetSinceNs() > 0 {
			member.Since = time.Unix(0, m.GetSinceNs()).UTC().Format(time.RFC3339)
		}
		out.NotConfirmed = append(out.NotConfirmed, member)
	}
	return out
}

// complete reports whether every member has confirmed. It is false without members.
func (r *rolloutStatus) complete() bool { return r.Members > 0 && len(r.NotConfirmed) == 0 }

func (r *rolloutStatus) unconfirmedNodes() []string {
	var out []string
	for _, m := range r.NotConfirmed {
		out = append(out, m.Node)
	}
	return out
}

// awaitInForce waits until every member has confirmed a configuration and prints
// the progress. It repeats a failed read until the wait times out, because the change
// has already been accepted and a read error must not be reported as its failure.
func (s *session) awaitInForce(ctx context.Context, configuration uint64) (*rolloutStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, s.waitTimeout)
	defer cancel()
	rollout := &rolloutStatus{}
	shownConfirmed := -1
	for pollInterval := minPollInterval; ; pollInterval = min(2*pollInterval, maxPollInterval) {
		if state, err := s.read(ctx); err == nil {
			rollout = newRolloutStatus(state, configuration)
		}
		if rollout.Confirmed != shownConfirmed {
			shownConfirmed = rollout.Confirmed
			s.printProgress("in force on %d of %d", rollout.Confirmed, rollout.Members)
		}
		if rollout.complete() {
			return rollout, nil
		}
		select {
		case <-ctx.Done():
			return rollout, &waitTimeoutError{configuration: configuration, pending: rollout.unconfirmedNodes()}
		case <-time.After(pollInterval):
		}
	}
}
