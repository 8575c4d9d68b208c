package saddleslope

import (
	"context"
	"fmt"
)

// measureMembers sends the heartbeats of members to a replica and measures the
// memory that the member table of the replica uses. Then it measures the processor
// time and the size of the first update that a new entry receives. The first update
// contains all members.
func measureMembers(ctx context.Context, o options, r *report) error {
	for _, n := range o.sizes(300, 1000, 3000) {
		if err := measureMembersAt(ctx, r, n); err != nil {
			return err
		}
	}
	return nil
}

func measureMembersAt(ctx context.Context, r *report, members int) error {
	c, cleanup, err := newControl(ctx)
	if err != nil {
		return err
	}
	defer cleanup()
	subs, err := newSubscribers(ctx, c, 1, agentMember)
	if err != nil {
		return err
	}
	defer subs.close()
	before := liveBytes()
	for i := range members {
		if err := subs.streams[0].Send(agentHeartbeat(i)); err != nil {
			return err
		}
	}
	if err := waitFor(ctx, func() error { return c.checkMembers(ctx, members) }); err != nil {
		return err
	}
	r.add("memory of a member at control", "bytes", "member", members, liveBytes()-before)
	var entry *subscribers
	cpuNs := cpuNanoseconds(func() { entry, err = newSubscribers(ctx, c, 1, entryMember) })
	if err != nil {
		return err
	}
	defer entry.close()
	_, received := entry.bytes()
	r.add("first update of an entry, both ends", "ns", "member", members, cpuNs)
	r.add("bytes of an entry's first update", "bytes", "member", members, float64(received))
	return nil
}

// checkMembers returns nil if control has at least n members.
func (c *control) checkMembers(ctx context.Context, n int) error {
	out, err := c.server.Read(ctx, nil)
	if err == nil && len(out.GetMembers()) < n {
		err = fmt.Errorf("control has %d of %d members", len(out.GetMembers()), n)
	}
	return err
}
