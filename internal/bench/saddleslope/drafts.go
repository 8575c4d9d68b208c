package saddleslope

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// silentAgent is an agent that keeps drafts open and sends no events.
type silentAgent struct {
	saddlewire.DRPCAgentUnimplementedServer
	openDrafts atomic.Int64
}

// Draft holds the stream open until its context is done.
func (a *silentAgent) Draft(_ *saddlewire.DraftRequest, stream saddlewire.DRPCAgent_DraftStream) error {
	a.openDrafts.Add(1)
	<-stream.Context().Done()
	return nil
}

// measureDrafts measures the memory of open drafts. Each draft has its own
// connection because a drpc connection carries one stream at a time.
func measureDrafts(ctx context.Context, o options, r *report) error {
	for _, n := range o.sizes(200, 600, 1800) {
		if err := measureDraftsAt(ctx, r, n); err != nil {
			return err
		}
	}
	return nil
}

func measureDraftsAt(ctx context.Context, r *report, drafts int) error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	agent := &silentAgent{}
	wg.Go(func() {
		_ = saddlelink.Serve(ctx, lis, func(mux drpc.Mux) error { return saddlewire.DRPCRegisterAgent(mux, agent) })
	})
	before := liveBytes()
	for range drafts {
		raw, err := net.Dial("tcp", lis.Addr().String())
		if err != nil {
			return err
		}
		conn := drpcconn.New(raw)
		defer func() { _ = conn.Close() }()
		if _, err := saddlewire.NewDRPCAgentClient(conn).Draft(ctx, &saddlewire.DraftRequest{Ticket: &saddlewire.Ticket{Request: sampleClaim(0).GetRequest()}}); err != nil {
			return err
		}
	}
	if err := waitFor(ctx, func() error {
		if got := agent.openDrafts.Load(); got < int64(drafts) {
			return fmt.Errorf("%d of %d drafts are open", got, drafts)
		}
		return nil
	}); err != nil {
		return err
	}
	r.add("memory of an open draft on the wire, both ends", "bytes", "draft", drafts, liveBytes()-before)
	return nil
}
