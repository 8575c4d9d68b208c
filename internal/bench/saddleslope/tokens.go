package saddleslope

import (
	"context"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// tokenAgent is an agent that generates the requested number of tokens.
type tokenAgent struct {
	saddlewire.DRPCAgentUnimplementedServer
}

// Draft sends MaxTokens token events.
func (*tokenAgent) Draft(in *saddlewire.DraftRequest, stream saddlewire.DRPCAgent_DraftStream) error {
	for p := range in.GetMaxTokens() {
		e := &saddlewire.DraftEvent{
			Request:     in.GetTicket().GetRequest(),
			Attempt:     in.GetTicket().GetAttempt(),
			Incarnation: baseIncarnation,
			Event:       &saddlewire.DraftEvent_Token{Token: &saddlewire.Token{Position: p, Text: " masonry"}},
			Stamp:       &saddlewire.Stamp{WallNs: int64(baseIncarnation), Count: p},
		}
		if err := stream.Send(e); err != nil {
			return err
		}
	}
	return nil
}

// measureTokens measures the stream of tokens between an agent and an entry,
// without engine and caller.
func measureTokens(ctx context.Context, o options, r *report) error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	defer func() {
		cancel()
		<-done
	}()
	go func() {
		defer close(done)
		_ = saddlelink.Serve(ctx, lis, func(mux drpc.Mux) error { return saddlewire.DRPCRegisterAgent(mux, &tokenAgent{}) })
	}()
	for _, n := range o.sizes(20_000, 60_000, 180_000) {
		raw, err := net.Dial("tcp", lis.Addr().String())
		if err != nil {
			return err
		}
		counted := &countingConn{Conn: raw}
		conn := drpcconn.New(counted)
		cpuNs := cpuNanoseconds(func() { err = receiveTokens(ctx, conn, n) })
		_ = conn.Close()
		if err != nil {
			return err
		}
		r.add("processor time of a token on the wire, both ends", "ns", "token", n, cpuNs)
		r.add("bytes of a token on the wire", "bytes", "token", n, float64(counted.received.Load()))
	}
	return nil
}

func receiveTokens(ctx context.Context, conn drpc.Conn, n int) error {
	stream, err := saddlewire.NewDRPCAgentClient(conn).Draft(ctx, &saddlewire.DraftRequest{
		Ticket:    &saddlewire.Ticket{Request: sampleClaim(0).GetRequest(), Attempt: 1},
		MaxTokens: uint32(n),
	})
	if err != nil {
		return err
	}
	for range n {
		if _, err := stream.Recv(); err != nil {
			return err
		}
	}
	return nil
}

// measureEvents records events in the ring buffer of a timeline.
func measureEvents(_ context.Context, o options, r *report) error {
	for _, n := range o.sizes(300_000, 1_000_000, 3_000_000) {
		ring := saddletimeline.NewRing("entry-1", 4096)
		e := saddletimeline.Event{Name: "draft_attempt", Request: sampleClaim(0).GetRequest(), Attempt: 1, Target: "mastori-1"}
		cpuNs := cpuNanoseconds(func() {
			for i := range n {
				ring.Add(eventTime(i), e)
			}
		})
		r.add("processor time of an event", "ns", "event", n, cpuNs)
	}
	return nil
}
