package saddleslope

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const heartbeatInterval = 500 * time.Millisecond // default of attend.beat

// measureStreams holds Attend streams to a replica open. Each stream carries a
// heartbeat and an update every 500 ms.
func measureStreams(ctx context.Context, o options, r *report) error {
	for _, n := range o.sizes(100, 300, 900) {
		if err := measureStreamsAt(ctx, o, r, n); err != nil {
			return err
		}
	}
	return nil
}

func measureStreamsAt(ctx context.Context, o options, r *report, streams int) error {
	c, cleanup, err := newControl(ctx)
	if err != nil {
		return err
	}
	defer cleanup()
	before := liveBytes()
	subs, err := newSubscribers(ctx, c, streams, agentMember)
	if err != nil {
		return err
	}
	defer subs.close()
	r.add("memory of a stream, both ends", "bytes", "stream", streams, liveBytes()-before)
	sent, received := subs.bytes()
	start := time.Now()
	cpuNs := cpuNanoseconds(func() { err = subs.sendHeartbeats(ctx, o.window) })
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	sentAfter, receivedAfter := subs.bytes()
	r.add("processor time of a stream a second, both ends", "ns/s", "stream", streams, cpuNs/seconds)
	r.add("heartbeats of a stream a second", "bytes/s", "stream", streams, float64(sentAfter-sent)/seconds)
	r.add("idle updates of a stream a second", "bytes/s", "stream", streams, float64(receivedAfter-received)/seconds)
	return nil
}

// sendHeartbeats sends a heartbeat on each stream once per heartbeatInterval, for
// the duration of window. The streams are divided into groups that send at different
// times, so that the heartbeats are spread over the interval.
func (s *subscribers) sendHeartbeats(ctx context.Context, window time.Duration) error {
	deadline := time.Now().Add(window)
	const groups = 10 // one of them sends at each tick
	ticker := time.NewTicker(heartbeatInterval / groups)
	defer ticker.Stop()
	for round := 0; time.Now().Before(deadline); round++ {
		for i := round % groups; i < len(s.streams); i += groups {
			m := agentMember(i)
			m.Load.Running = uint32(round)
			b := s.heartbeatSenders[i].Next(m)
			b.Stamp = &saddlewire.Stamp{WallNs: time.Now().UnixNano()}
			if err := s.streams[i].Send(b); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
