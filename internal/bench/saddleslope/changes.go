package saddleslope

import (
	"context"
	"fmt"
)

const changesPerSize = 40 // deployments submitted for each number of streams

// measureChanges submits deployments one after another. It submits the next
// deployment when every stream has received the previous one.
func measureChanges(ctx context.Context, o options, r *report) error {
	for _, n := range o.sizes(50, 150, 450) {
		if err := measureChangesAt(ctx, r, n); err != nil {
			return err
		}
	}
	return nil
}

func measureChangesAt(ctx context.Context, r *report, streams int) error {
	c, cleanup, err := newControl(ctx)
	if err != nil {
		return err
	}
	defer cleanup()
	if _, err := c.submit(ctx, putTemplate()); err != nil {
		return err
	}
	subs, err := newSubscribers(ctx, c, streams, agentMember)
	if err != nil {
		return err
	}
	defer subs.close()
	_, before := subs.bytes()
	cpuNs := cpuNanoseconds(func() { err = subs.submitChanges(ctx, c) })
	if err != nil {
		return err
	}
	_, after := subs.bytes()
	r.add("processor time of a change in force, both ends", "ns", "stream", streams, cpuNs/changesPerSize)
	r.add("bytes of a change in force", "bytes", "stream", streams, float64(after-before)/changesPerSize)
	return nil
}

func (s *subscribers) submitChanges(ctx context.Context, c *control) error {
	for i := range changesPerSize {
		index, err := c.submit(ctx, putDeployment(i, 0))
		if err != nil {
			return err
		}
		if err := waitFor(ctx, func() error { return s.checkRevisions(index) }); err != nil {
			return err
		}
	}
	return nil
}

// checkRevisions returns nil if the latest update of every stream has at least the
// given revision. The revision is the log index of a command.
func (s *subscribers) checkRevisions(revision uint64) error {
	for i := range s.revisions {
		if got := s.revisions[i].Load(); got < revision {
			return fmt.Errorf("stream %d is at revision %d, want %d", i, got, revision)
		}
	}
	return nil
}
