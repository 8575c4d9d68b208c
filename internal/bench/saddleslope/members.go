package saddleslope

import (
	"context"
	"fmt"
)

// measureMembers gathers members at a replica, as its table keeps them, then
// tells a new entry of all of them.
func measureMembers(ctx context.Context, o options, r *report) error {
	for _, n := range o.sizes(300, 1000, 3000) {
		if err := measureMembersAt(ctx, r, n); err != nil {
			return err
		}
	}
	return nil
}

func measureMembersAt(ctx context.Context, r *report, n int) error {
	c, cleanup, err := newControl(ctx)
	if err != nil {
		return err
	}
	defer cleanup()
	a, err := newAttendees(ctx, c, 1, agentMember)
	if err != nil {
		return err
	}
	defer a.close()
	before := memory()
	for i := range n {
		if err := a.streams[0].Send(beatOf(i)); err != nil {
			return err
		}
	}
	if err := await(ctx, func() error { return c.knows(ctx, n) }); err != nil {
		return err
	}
	r.add("memory of a member at control", "bytes", "member", n, memory()-before)
	var entry *attendees
	used := cost(func() { entry, err = newAttendees(ctx, c, 1, entryMember) })
	if err != nil {
		return err
	}
	defer entry.close()
	_, received := entry.bytes()
	r.add("first update of an entry, both ends", "ns", "member", n, used)
	r.add("bytes of an entry's first update", "bytes", "member", n, float64(received))
	return nil
}

func (c *control) knows(ctx context.Context, n int) error {
	out, err := c.server.Read(ctx, nil)
	if err == nil && len(out.GetMembers()) < n {
		err = fmt.Errorf("%d of %d members are known", len(out.GetMembers()), n)
	}
	return err
}
