package saddlehops

import (
	"context"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// relayed is the entry's stream to one stage of the baseline.
type relayed struct {
	conn   *drpcconn.Conn
	stream saddlewire.DRPCAgent_HopClient
}

func newRelayed(ctx context.Context, f *fleet, a *agent) (*relayed, error) {
	address := "relayed-" + a.info.GetAddress()
	f.net.SetDelay(entry, address, f.delay)
	server := &relayServer{engine: a.engine}
	f.net.Serve(address, func(c net.Conn) {
		_ = saddlelink.ServeConn(ctx, c, func(mux drpc.Mux) error { return saddlewire.DRPCRegisterAgent(mux, server) })
	})
	conn, err := f.dial(ctx, entry, address)
	if err != nil {
		return nil, err
	}
	stream, err := saddlewire.NewDRPCAgentClient(conn).Hop(ctx)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &relayed{conn: conn, stream: stream}, nil
}

func (r *relayed) close() { _ = r.conn.Close() }

// step sends a step to the stage and waits for what it gives.
func (r *relayed) step(f *saddlewire.Frame) (*saddlewire.Frame, error) {
	if err := r.stream.Send(&saddlewire.FrameBatch{Frames: []*saddlewire.Frame{f}}); err != nil {
		return nil, err
	}
	batch, err := r.stream.Recv()
	if err != nil {
		return nil, err
	}
	return batch.GetFrames()[0], nil
}

// relay takes one step through all stages.
func relay(stages []*relayed, step fireflysaddle.Step) (fireflysaddle.StepResult, error) {
	f := &saddlewire.Frame{
		Kind: saddlewire.Frame_STEP, Request: string(step.Request), Attempt: uint32(step.Attempt),
		Position: uint32(step.Position), Token: step.Token,
	}
	if step.Position == 0 {
		f.Token = step.Prompt
	}
	for _, s := range stages {
		out, err := s.step(f)
		if err != nil {
			return fireflysaddle.StepResult{}, err
		}
		f = out
	}
	return fireflysaddle.StepResult{Token: f.GetToken(), Count: f.GetCount()}, nil
}

// relayServer runs the steps of one stage of the baseline.
type relayServer struct {
	saddlewire.DRPCAgentUnimplementedServer
	engine fireflysaddle.Engine
}

// Hop answers each step with what it gives.
func (s *relayServer) Hop(stream saddlewire.DRPCAgent_HopStream) error {
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		for _, f := range batch.GetFrames() {
			out, err := s.run(stream.Context(), f)
			if err != nil {
				return err
			}
			if err := stream.Send(&saddlewire.FrameBatch{Frames: []*saddlewire.Frame{out}}); err != nil {
				return err
			}
		}
	}
}

func (s *relayServer) run(ctx context.Context, f *saddlewire.Frame) (*saddlewire.Frame, error) {
	result, err := s.engine.Step(ctx, fireflysaddle.Step{
		Request: fireflysaddle.RequestID(f.GetRequest()), Attempt: fireflysaddle.Attempt(f.GetAttempt()),
		Position: fireflysaddle.Position(f.GetPosition()), Prompt: f.GetToken(), Token: f.GetToken(),
		Activation: f.GetActivation(), Count: f.GetCount(),
	})
	return &saddlewire.Frame{
		Kind: saddlewire.Frame_STEP, Request: f.GetRequest(), Attempt: f.GetAttempt(), Position: f.GetPosition(),
		Activation: result.Activation, Token: result.Token, Count: result.Count,
	}, err
}
