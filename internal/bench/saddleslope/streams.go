package saddleslope

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const beatEvery = 500 * time.Millisecond // the default of attend.beat

// measureStreams holds attending streams to a replica, each with a heartbeat
// and an update every 500 ms.
func measureStreams(ctx context.Context, o options, r *report) error {
	for _, n := range o.sizes(100, 300, 900) {
		if err := measureStreamsAt(ctx, o, r, n); err != nil {
			return err
		}
	}
	return nil
}

func measureStreamsAt(ctx context.Context, o options, r *report, n int) error {
	c, cleanup, err := newControl(ctx)
	if err != nil {
		return err
	}
	defer cleanup()
	before := memory()
	a, err := newAttendees(ctx, c, n, agentMember)
	if err != nil {
		return err
	}
	defer a.close()
	r.add("memory of a stream, both ends", "bytes", "stream", n, memory()-before)
	sent, received := a.bytes()
	start := time.Now()
	used := cost(func() { err = a.beat(ctx, o.window) })
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	sentAfter, receivedAfter := a.bytes()
	r.add("processor time of a stream a second, both ends", "ns/s", "stream", n, used/seconds)
	r.add("heartbeats of a stream a second", "bytes/s", "stream", n, float64(sentAfter-sent)/seconds)
	r.add("idle updates of a stream a second", "bytes/s", "stream", n, float64(receivedAfter-received)/seconds)
	return nil
}

// beat sends the heartbeats of all streams, spread over the interval.
func (a *attendees) beat(ctx context.Context, window time.Duration) error {
	until := time.Now().Add(window)
	const slices = 10 // of the interval
	tick := time.NewTicker(beatEvery / slices)
	defer tick.Stop()
	for turn := 0; time.Now().Before(until); turn++ {
		for i := turn % slices; i < len(a.streams); i += slices {
			m := agentMember(i)
			m.Load.Running = uint32(turn)
			b := a.beats[i].Next(m)
			b.Stamp = &saddlewire.Stamp{WallNs: time.Now().UnixNano()}
			if err := a.streams[i].Send(b); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}
