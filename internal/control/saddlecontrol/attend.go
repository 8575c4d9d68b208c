package saddlecontrol

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcctx"

	"github.com/fireflysaddle/fireflysaddle/internal/node/saddlebeat"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// pullEvery is how often a node that attends hears from the replica at least.
const pullEvery = 500 * time.Millisecond

// Attend takes in a node's heartbeats and sends it updates. A node that sends
// none for the silence time is cut off: its connection is closed, because a
// write to a frozen node would wait for ever.
func (s *Server) Attend(stream saddlewire.DRPCControl_AttendStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	silence := time.AfterFunc(s.cfg.NodeSilenceTimeout, func() {
		countSilent.Add(1)
		cancel()
		if transport, ok := drpcctx.Transport(stream.Context()); ok {
			_ = transport.Close()
		}
	})
	defer silence.Stop()
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	receiver := &saddlebeat.Receiver{}
	if err := s.takeBeat(ctx, receiver, first); err != nil {
		return err
	}
	silence.Reset(s.cfg.NodeSilenceTimeout)
	a := newAttendee(first.GetMember())
	a.echoNs.Store(first.GetSentNs())
	if err := s.post(ctx, joinEvent{who: a}); err != nil {
		return err
	}
	defer func() { _ = s.post(context.WithoutCancel(ctx), leaveEvent{who: a}) }()
	go func() {
		defer cancel()
		s.takeBeats(ctx, stream, receiver, silence, a)
	}()
	return s.sendUpdates(ctx, stream, a)
}

func (s *Server) takeBeats(ctx context.Context, stream saddlewire.DRPCControl_AttendStream, receiver *saddlebeat.Receiver, silence *time.Timer, a *attendee) {
	for {
		b, err := stream.Recv()
		if err != nil {
			return
		}
		if err := s.takeBeat(ctx, receiver, b); err != nil {
			return
		}
		if ctx.Err() != nil {
			return
		}
		a.echoNs.Store(b.GetSentNs())
		silence.Reset(s.cfg.NodeSilenceTimeout)
	}
}

func (s *Server) takeBeat(ctx context.Context, receiver *saddlebeat.Receiver, b *saddlewire.Beat) error {
	m := receiver.Member(b)
	if m.GetNode() == "" {
		return eris.New("a heartbeat names no node")
	}
	s.cfg.Timeline.Observe(time.Now(), b.GetStamp())
	return s.post(ctx, beatEvent{member: m})
}

func (s *Server) sendUpdates(ctx context.Context, stream saddlewire.DRPCControl_AttendStream, a *attendee) error {
	tick := time.NewTicker(pullEvery)
	defer tick.Stop()
	reply := make(chan *saddlewire.Update, 1)
	for {
		u, err := ask(ctx, s, pullEvent{who: a, reply: reply}, reply)
		if err != nil {
			return err
		}
		if err := stream.Send(u); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-a.notify:
		case <-tick.C:
		}
	}
}
