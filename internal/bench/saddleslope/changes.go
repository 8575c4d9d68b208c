package saddleslope

import (
	"context"
	"fmt"
)

const changesEach = 40 // changes at each size

// measureChanges submits deployments one after the other and waits until each
// is in force on every stream.
func measureChanges(ctx context.Context, o options, r *report) error {
	for _, n := range o.sizes(50, 150, 450) {
		if err := measureChangesAt(ctx, r, n); err != nil {
			return err
		}
	}
	return nil
}

func measureChangesAt(ctx context.Context, r *report, n int) error {
	c, cleanup, err := newControl(ctx)
	if err != nil {
		return err
	}
	defer cleanup()
	if _, err := c.submit(ctx, putTemplate()); err != nil {
		return err
	}
	a, err := newAttendees(ctx, c, n, agentMember)
	if err != nil {
		return err
	}
	defer a.close()
	_, before := a.bytes()
	used := cost(func() { err = a.changes(ctx, c) })
	if err != nil {
		return err
	}
	_, after := a.bytes()
	r.add("processor time of a change in force, both ends", "ns", "stream", n, used/changesEach)
	r.add("bytes of a change in force", "bytes", "stream", n, float64(after-before)/changesEach)
	return nil
}

func (a *attendees) changes(ctx context.Context, c *control) error {
	for i := range changesEach {
		index, err := c.submit(ctx, putDeployment(i, 0))
		if err != nil {
			return err
		}
		if err := await(ctx, func() error { return a.inForce(index) }); err != nil {
			return err
		}
	}
	return nil
}

// inForce returns nil when every stream has a configuration.
func (a *attendees) inForce(index uint64) error {
	for i := range a.revision {
		if got := a.revision[i].Load(); got < index {
			return fmt.Errorf("stream %d is at configuration %d, not %d", i, got, index)
		}
	}
	return nil
}
