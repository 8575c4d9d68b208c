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

// relayStream is the stream over which the entry relays steps to one stage.
type relayStream struct {
	conn   *drpcconn.Conn
	stream saddlewire.DRPCAgent_HopClient
}

// newRelayStream serves the engine of an agent at a separate address and opens a
// stream to it from the entry.
func newRelayStream(ctx context.Context, f *fleet, a *agent) (*relayStream, error) {
	address := "relayed-" + a.stage.GetAddress()
	f.network.SetDelay(entryAddress, address, f.linkDelay)
	server := &relayServer{engine: a.engine}
	f.network.Serve(address, func(c net.Conn) {
		_ = saddlelink.ServeConn(ctx, c, func(mux drpc.Mux) error { return saddlewire.DRPCRegisterAgent(mux, server) })
	})
	conn, err := f.dial(ctx, entryAddress, address)
	if err != nil {
		return nil, err
	}
	stream, err := saddlewire.NewDRPCAgentClient(conn).Hop(ctx)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &relayStream{conn: conn, stream: stream}, nil
}

func (r *relayStream) close() { _ = r.conn.Close() }

// runStep sends a step to the stage and waits for its output.
func (r *relayStream) runStep(f *saddlewire.Frame) (*saddlewire.Frame, error) {
	if err := r.stream.Send(&saddlewire.FrameBatch{Frames: []*saddlewire.Frame{f}}); err != nil {
		return nil, err
	}
	batch, err := r.stream.Recv()
	if err != nil {
		return nil, err
	}
	return batch.GetFrames()[0], nil
}

// relayStep runs one step on each stage in turn and returns the output of the last
// stage.
func relayStep(streams []*relayStream, step fireflysaddle.Step) (fireflysaddle.StepResult, error) {
	f := &saddlewire.Frame{
		Kind: saddlewire.Frame_STEP, Request: string(step.Request), Attempt: uint32(step.Attempt),
		Position: uint32(step.Position), Token: step.Token,
	}
	if step.Position == 0 {
		f.Token = step.Prompt
	}
	for _, s := range streams {
		out, err := s.runStep(f)
		if err != nil {
			return fireflysaddle.StepResult{}, err
		}
		f = out
	}
	return fireflysaddle.StepResult{Token: f.GetToken(), Count: f.GetCount()}, nil
}

// relayServer runs the steps that the entry relays to one stage.
type relayServer struct {
	saddlewire.DRPCAgentUnimplementedServer
	engine fireflysaddle.Engine
}

// Hop runs each step and returns its output.
func (s *relayServer) Hop(stream saddlewire.DRPCAgent_HopStream) error {
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		for _, f := range batch.GetFrames() {
			out, err := s.runStep(stream.Context(), f)
			if err != nil {
				return err
			}
			if err := stream.Send(&saddlewire.FrameBatch{Frames: []*saddlewire.Frame{out}}); err != nil {
				return err
			}
		}
	}
}

func (s *relayServer) runStep(ctx context.Context, f *saddlewire.Frame) (*saddlewire.Frame, error) {
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
