package saddleentry_test

import (
	"context"
	"sync"

	"storj.io/drpc"

	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const relayAddress = "relay:1"

// relayMode specifies how a relay modifies the messages.
type relayMode int

const (
	relayPass relayMode = iota
	// relayDuplicateAnswer sends each answer to a call, and each token of a draft, twice.
	relayDuplicateAnswer
	// relayReorderAnswers sends, before each answer to a call, an answer to another
	// request. It swaps the two tokens of each successive pair of a draft's tokens.
	relayReorderAnswers
	// relayDuplicateRequest sends each call twice, the duplicate first. Drafts are not
	// modified.
	relayDuplicateRequest
	// relayStaleAnswerFirst sends, before each answer to a call, an answer by an earlier
	// incarnation of the agent to the same call. Drafts are not modified.
	relayStaleAnswerFirst
)

// relay is a proxy between the entries and an agent.
type relay struct {
	saddlewire.DRPCAgentUnimplementedServer
	cluster      *testCluster
	agentAddress string // address of the agent to which messages are forwarded

	mu   sync.Mutex
	mode relayMode
}

func (r *relay) start() {
	lis, _ := r.cluster.net.forProcess("relay").Listen(relayAddress)
	r.cluster.spawn(func(ctx context.Context) {
		_ = saddlelink.Serve(ctx, lis, func(mux drpc.Mux) error { return saddlewire.DRPCRegisterAgent(mux, r) })
	})
}

func (r *relay) setMode(mode relayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
}

func (r *relay) hasMode(mode relayMode) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode == mode
}

func (r *relay) client(ctx context.Context) (saddlewire.DRPCAgentClient, func(), error) {
	conn, err := saddlelink.DialWithNetwork(ctx, r.cluster.net.forProcess("relay"), r.agentAddress)
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
	var duplicate saddlewire.DRPCAgent_CallClient
	if r.hasMode(relayDuplicateRequest) {
		duplicateAgent, done, err := r.client(ctx)
		if err != nil {
			return err
		}
		defer done()
		if duplicate, err = duplicateAgent.Call(ctx, in); err != nil {
			return err
		}
		if _, err := duplicate.Recv(); err != nil { // waits until the agent has admitted the duplicate
			return err
		}
	}
	agentStream, err := agent.Call(ctx, in)
	if err != nil {
		return err
	}
	for {
		e, err := agentStream.Recv()
		if err != nil {
			return err
		}
		if other := r.injectedEvent(e); other != nil {
			if err := stream.Send(other); err != nil {
				return err
			}
		}
		if err := stream.Send(e); err != nil {
			return err
		}
		if e.GetAnswer() != nil && r.hasMode(relayDuplicateAnswer) {
			_ = stream.Send(e)
		}
	}
}

// Draft forwards a draft and duplicates or reorders its tokens according to the mode.
func (r *relay) Draft(in *saddlewire.DraftRequest, stream saddlewire.DRPCAgent_DraftStream) error {
	agent, done, err := r.client(stream.Context())
	if err != nil {
		return err
	}
	defer done()
	agentStream, err := agent.Draft(stream.Context(), in)
	if err != nil {
		return err
	}
	var delayed *saddlewire.DraftEvent
	for {
		e, err := agentStream.Recv()
		if err != nil {
			return err
		}
		out := []*saddlewire.DraftEvent{e}
		switch {
		case e.GetToken() == nil:
		case r.hasMode(relayDuplicateAnswer):
			out = append(out, e)
		case r.hasMode(relayReorderAnswers) && delayed == nil: // swaps each pair of tokens
			delayed = e
			out = nil
		case r.hasMode(relayReorderAnswers):
			out = append(out, delayed)
			delayed = nil
		}
		for _, e := range out {
			if err := stream.Send(e); err != nil {
				return err
			}
		}
	}
}

// injectedEvent returns the event to be sent before e, or nil.
func (r *relay) injectedEvent(e *saddlewire.CallEvent) *saddlewire.CallEvent {
	switch {
	case e.GetAnswer() == nil:
	case r.hasMode(relayReorderAnswers):
		return foreignAnswer(e, "another-request", e.GetIncarnation())
	case r.hasMode(relayStaleAnswerFirst):
		return foreignAnswer(e, e.GetRequest(), e.GetIncarnation()-1)
	}
	return nil
}

func foreignAnswer(e *saddlewire.CallEvent, request string, incarnation uint64) *saddlewire.CallEvent {
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
