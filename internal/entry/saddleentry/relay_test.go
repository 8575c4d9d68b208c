package saddleentry_test

import (
	"context"
	"sync"

	"storj.io/drpc"

	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const relayAddress = "relay:1"

// relayMode is what a relay does with what passes.
type relayMode int

const (
	relayPass         relayMode = iota
	relayAnswerTwice            // each answer goes out twice
	relayOtherFirst             // another request's answer goes out first
	relayRequestTwice           // each request goes out twice, the copy first
	relayEarlierFirst           // an answer of an earlier start of the agent goes out first
)

// relay stands between the entries and an agent.
type relay struct {
	saddlewire.DRPCAgentUnimplementedServer
	w      *world
	behind string // the agent's address

	mu   sync.Mutex
	mode relayMode
}

func (r *relay) start() {
	lis, _ := r.w.net.of("relay").Listen(relayAddress)
	r.w.run(func(ctx context.Context) {
		_ = saddlelink.Serve(ctx, lis, func(mux drpc.Mux) error { return saddlewire.DRPCRegisterAgent(mux, r) })
	})
}

func (r *relay) set(mode relayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
}

func (r *relay) is(mode relayMode) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode == mode
}

func (r *relay) client(ctx context.Context) (saddlewire.DRPCAgentClient, func(), error) {
	conn, err := saddlelink.DialWithNetwork(ctx, r.w.net.of("relay"), r.behind)
	if err != nil {
		return nil, nil, err
	}
	return saddlewire.NewDRPCAgentClient(conn), func() { _ = conn.Close() }, nil
}

func (r *relay) Call(in *saddlewire.CallRequest, stream saddlewire.DRPCAgent_CallStream) error {
	ctx := stream.Context()
	agent, done, err := r.client(ctx)
	if err != nil {
		return err
	}
	defer done()
	var copied saddlewire.DRPCAgent_CallClient
	if r.is(relayRequestTwice) {
		again, done, err := r.client(ctx)
		if err != nil {
			return err
		}
		defer done()
		if copied, err = again.Call(ctx, in); err != nil {
			return err
		}
		if _, err := copied.Recv(); err != nil { // it is admitted
			return err
		}
	}
	from, err := agent.Call(ctx, in)
	if err != nil {
		return err
	}
	for {
		e, err := from.Recv()
		if err != nil {
			return err
		}
		if other := r.strayBefore(e); other != nil {
			if err := stream.Send(other); err != nil {
				return err
			}
		}
		if err := stream.Send(e); err != nil {
			return err
		}
		if e.GetAnswer() != nil && r.is(relayAnswerTwice) {
			_ = stream.Send(e)
		}
	}
}

// Draft passes a draft on, its tokens as the mode says.
func (r *relay) Draft(in *saddlewire.DraftRequest, stream saddlewire.DRPCAgent_DraftStream) error {
	agent, done, err := r.client(stream.Context())
	if err != nil {
		return err
	}
	defer done()
	from, err := agent.Draft(stream.Context(), in)
	if err != nil {
		return err
	}
	var held *saddlewire.DraftEvent
	for {
		e, err := from.Recv()
		if err != nil {
			return err
		}
		out := []*saddlewire.DraftEvent{e}
		switch {
		case e.GetToken() == nil:
		case r.is(relayAnswerTwice):
			out = append(out, e)
		case r.is(relayOtherFirst) && held == nil: // pairs of tokens swap places
			held = e
			out = nil
		case r.is(relayOtherFirst):
			out = append(out, held)
			held = nil
		}
		for _, e := range out {
			if err := stream.Send(e); err != nil {
				return err
			}
		}
	}
}

// strayBefore returns what goes out before an event, nil when nothing does.
func (r *relay) strayBefore(e *saddlewire.CallEvent) *saddlewire.CallEvent {
	switch {
	case e.GetAnswer() == nil:
	case r.is(relayOtherFirst):
		return otherAnswer(e, "another-request", e.GetIncarnation())
	case r.is(relayEarlierFirst):
		return otherAnswer(e, e.GetRequest(), e.GetIncarnation()-1)
	}
	return nil
}

func otherAnswer(e *saddlewire.CallEvent, request string, incarnation uint64) *saddlewire.CallEvent {
	return &saddlewire.CallEvent{
		Request:     request,
		Attempt:     e.GetAttempt(),
		Incarnation: incarnation,
		Event:       &saddlewire.CallEvent_Answer{Answer: &saddlewire.Answer{Status: 201, Body: []byte("another's")}},
	}
}

func (r *relay) Seal(ctx context.Context, in *saddlewire.SealRequest) (*saddlewire.SealResponse, error) {
	agent, done, err := r.client(ctx)
	if err != nil {
		return nil, err
	}
	defer done()
	return agent.Seal(ctx, in)
}
