package saddlecontrol

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcctx"

	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleheartbeat"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	// updateInterval is the longest time between two updates on an Attend stream.
	updateInterval = 500 * time.Millisecond
	// updateCost is the shortest time between two updates, per subscriber: a replica sends
	// at most a thousand updates a second. Without this limit, changes of n members would
	// cause n updates to each of n subscribers, for example after a power failure.
	updateCost = time.Millisecond
)

// updatePause returns the shortest time between two updates to the same subscriber.
func updatePause(subscribers int) time.Duration {
	return min(updateInterval, time.Duration(subscribers)*updateCost)
}

// Attend receives a node's heartbeats and sends it updates. When a node sends no
// heartbeat for NodeSilenceTimeout, its connection is closed, because a write to a frozen
// node would block forever.
func (s *Server) Attend(stream saddlewire.DRPCControl_AttendStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	silenceTimer := time.AfterFunc(s.cfg.NodeSilenceTimeout, func() {
		countNodesCutOff.Add(1)
		cancel()
		if transport, ok := drpcctx.Transport(stream.Context()); ok {
			_ = transport.Close()
		}
	})
	defer silenceTimer.Stop()
	firstHeartbeat, err := stream.Recv()
	if err != nil {
		return err
	}
	receiver := &saddleheartbeat.Receiver{}
	if err := s.handleHeartbeat(ctx, receiver, firstHeartbeat); err != nil {
		return err
	}
	silenceTimer.Reset(s.cfg.NodeSilenceTimeout)
	sub := newSubscriber(firstHeartbeat.GetMember())
	sub.echoNs.Store(firstHeartbeat.GetSentNs())
	if err := s.post(ctx, subscribeEvent{sub: sub}); err != nil {
		return err
	}
	defer func() { _ = s.post(context.WithoutCancel(ctx), unsubscribeEvent{sub: sub}) }()
	go func() {
		defer cancel()
		s.receiveHeartbeats(ctx, stream, receiver, silenceTimer, sub)
	}()
	return s.sendUpdates(ctx, stream, sub)
}

func (s *Server) receiveHeartbeats(ctx context.Context, stream saddlewire.DRPCControl_AttendStream, receiver *saddleheartbeat.Receiver, silenceTimer *time.Timer, sub *subscriber) {
	for {
		heartbeat, err := stream.Recv()
		if err != nil {
			return
		}
		if err := s.handleHeartbeat(ctx, receiver, heartbeat); err != nil {
			return
		}
		if ctx.Err() != nil {
			return
		}
		sub.echoNs.Store(heartbeat.GetSentNs())
		silenceTimer.Reset(s.cfg.NodeSilenceTimeout)
	}
}

func (s *Server) handleHeartbeat(ctx context.Context, receiver *saddleheartbeat.Receiver, heartbeat *saddlewire.Beat) error {
	member := receiver.Member(heartbeat)
	if member.GetNode() == "" {
		return eris.New("heartbeat without a node name")
	}
	s.cfg.Timeline.Observe(time.Now(), heartbeat.GetStamp())
	return s.post(ctx, heartbeatEvent{member: member, sentNs: heartbeat.GetSentNs()})
}

func (s *Server) sendUpdates(ctx context.Context, stream saddlewire.DRPCControl_AttendStream, sub *subscriber) error {
	tick := time.NewTicker(updateInterval)
	defer tick.Stop()
	endTurn, err := s.awaitSnapshotTurn(ctx, stream, sub, tick.C)
	if err != nil {
		return err
	}
	defer endTurn()
	reply := make(chan *saddlewire.Update, 1)
	for {
		u, err := ask(ctx, s, updateEvent{sub: sub, reply: reply}, reply)
		if err != nil {
			return err
		}
		if err := stream.Send(u); err != nil {
			return err
		}
		endTurn()
		sentAt := time.Now()
		select {
		case <-ctx.Done():
			return nil
		case <-sub.notify:
			if !s.pauseUpdates(ctx, time.Since(sentAt)) {
				return nil
			}
		case <-tick.C:
		}
	}
}

// awaitSnapshotTurn waits until a snapshot may be sent, and meanwhile tells the entry at each tick
// that it waits, so that it does not take this replica for silent. endTurn must be called once
// the snapshot has been sent; further calls do nothing.
func (s *Server) awaitSnapshotTurn(ctx context.Context, stream saddlewire.DRPCControl_AttendStream, sub *subscriber, tick <-chan time.Time) (endTurn func(), err error) {
	reply := make(chan snapshotNeed, 1)
	need, err := ask(ctx, s, snapshotNeedEvent{sub: sub, reply: reply}, reply)
	if err != nil || !need.large {
		return func() {}, err
	}
	turn := s.snapshots.join(need.firstSource)
	endTurn = sync.OnceFunc(func() { s.snapshots.leave(turn) })
	for {
		select {
		case <-ctx.Done():
			endTurn()
			return nil, ctx.Err()
		case <-turn.granted:
			return endTurn, nil
		case <-tick:
			countSnapshotWaits.Add(1)
			if err := stream.Send(&saddlewire.Update{Waiting: true}); err != nil {
				endTurn()
				return nil, err
			}
		}
	}
}

// pauseUpdates waits until the pause between two updates is over, so that further changes
// join the next update. It returns false if the context ends first.
func (s *Server) pauseUpdates(ctx context.Context, sinceLast time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(s.core.updatePause.Load()) - sinceLast):
		return true
	}
}
