package saddledirectory

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddlebeat"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	// updateEvery is the time between updates to a node that attends, as that of a
	// replica: nodes dial one anew that is silent for some of them.
	updateEvery = 500 * time.Millisecond
	// listenAgain is the pause before the listener is opened again.
	listenAgain = 300 * time.Millisecond
)

// Config holds what a directory needs.
type Config struct {
	Listen             string
	NodeSilenceTimeout time.Duration // after which the connection of a silent node is closed
	Network            fireflysaddle.Network
	// Replicas returns the addresses of the replicas that are known.
	Replicas func() []string
	// Learn takes in the address of a replica that attends.
	AddReplica func(address string)
	Log        zerolog.Logger
}

// Server serves those calls of a replica that need no state. It refuses all others.
type Server struct {
	saddlewire.DRPCControlUnimplementedServer
	cfg Config
}

// New returns a server.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.listen(ctx)
		if ctx.Err() != nil {
			return
		}
		s.cfg.Log.Error().Err(err).Str("address", s.cfg.Listen).Msg("the directory's listener failed; it is opened again")
		select {
		case <-ctx.Done():
		case <-time.After(listenAgain):
		}
	}
}

func (s *Server) listen(ctx context.Context) error {
	lis, err := saddlelink.NetworkOrTCP(s.cfg.Network).Listen(s.cfg.Listen)
	if err != nil {
		return err
	}
	defer func() { _ = lis.Close() }()
	return saddlelink.Serve(ctx, lis, func(mux drpc.Mux) error { return saddlewire.DRPCRegisterControl(mux, s) })
}

// Attend tells a node the replicas, again and again, and learns from one that is a
// replica itself. It never vouches for what it says.
func (s *Server) Attend(stream saddlewire.DRPCControl_AttendStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	silence := time.AfterFunc(s.cfg.NodeSilenceTimeout, func() {
		cancel()
		if transport, ok := drpcctx.Transport(stream.Context()); ok {
			_ = transport.Close()
		}
	})
	defer silence.Stop()
	go func() {
		defer cancel()
		s.takeBeats(stream, silence)
	}()
	tick := time.NewTicker(updateEvery)
	defer tick.Stop()
	for {
		if err := stream.Send(&saddlewire.Update{Replicas: s.cfg.Replicas()}); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (s *Server) takeBeats(stream saddlewire.DRPCControl_AttendStream, silence *time.Timer) {
	receiver := &saddlebeat.Receiver{}
	for {
		b, err := stream.Recv()
		if err != nil {
			return
		}
		silence.Reset(s.cfg.NodeSilenceTimeout)
		m := receiver.Member(b)
		if fireflysaddle.Role(m.GetRole()) == fireflysaddle.RoleControl && m.GetAddress() != "" {
			s.cfg.AddReplica(m.GetAddress())
		}
	}
}

// Change sends a replica that wants to join to one that may know the leader.
func (s *Server) Change(context.Context, *saddlewire.ReplicaChange) (*saddlewire.SubmitResponse, error) {
	return s.elsewhere(), nil
}

// Submit sends the caller to a replica.
func (s *Server) Submit(context.Context, *saddlewire.SubmitRequest) (*saddlewire.SubmitResponse, error) {
	return s.elsewhere(), nil
}

func (s *Server) elsewhere() *saddlewire.SubmitResponse {
	out := &saddlewire.SubmitResponse{Refused: true}
	if known := s.cfg.Replicas(); len(known) > 0 {
		out.Leader = known[0]
	}
	return out
}
