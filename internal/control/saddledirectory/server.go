package saddledirectory

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleheartbeat"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	// updateInterval is the time between two updates on an Attend stream. It equals that
	// of a replica, because nodes reconnect after several intervals without an update.
	updateInterval = 500 * time.Millisecond
	// listenRetryDelay is the delay before a failed listener is reopened.
	listenRetryDelay = 300 * time.Millisecond
)

// Config holds the settings and callbacks of a directory.
type Config struct {
	Listen             string
	NodeSilenceTimeout time.Duration         // time without heartbeats after which the connection of a node is closed
	Network            fireflysaddle.Network // nil: TCP
	// Replicas returns the known addresses of replicas.
	Replicas func() []string
	// AddReplica records the address of a replica that sends heartbeats.
	AddReplica func(address string)
	Log        zerolog.Logger
}

// Server implements the calls of a control replica that need no state. All others
// return an error.
type Server struct {
	saddlewire.DRPCControlUnimplementedServer
	cfg Config
}

// New returns a directory server.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Run serves until the context ends and reopens the listener when it fails.
func (s *Server) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.listenAndServe(ctx)
		if ctx.Err() != nil {
			return
		}
		s.cfg.Log.Error().Err(err).Str("address", s.cfg.Listen).Msg("directory listener failed; reopening")
		select {
		case <-ctx.Done():
		case <-time.After(listenRetryDelay):
		}
	}
}

func (s *Server) listenAndServe(ctx context.Context) error {
	lis, err := saddlelink.NetworkOrTCP(s.cfg.Network).Listen(s.cfg.Listen)
	if err != nil {
		return err
	}
	defer func() { _ = lis.Close() }()
	return saddlelink.Serve(ctx, lis, func(mux drpc.Mux) error { return saddlewire.DRPCRegisterControl(mux, s) })
}

// Attend repeatedly sends a node the addresses of the replicas, and records the address
// of a node that is a replica itself. Its updates are never marked as confirmed.
func (s *Server) Attend(stream saddlewire.DRPCControl_AttendStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	silenceTimer := time.AfterFunc(s.cfg.NodeSilenceTimeout, func() {
		cancel()
		if transport, ok := drpcctx.Transport(stream.Context()); ok {
			_ = transport.Close()
		}
	})
	defer silenceTimer.Stop()
	go func() {
		defer cancel()
		s.receiveHeartbeats(stream, silenceTimer)
	}()
	tick := time.NewTicker(updateInterval)
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

func (s *Server) receiveHeartbeats(stream saddlewire.DRPCControl_AttendStream, silenceTimer *time.Timer) {
	receiver := &saddleheartbeat.Receiver{}
	for {
		heartbeat, err := stream.Recv()
		if err != nil {
			return
		}
		silenceTimer.Reset(s.cfg.NodeSilenceTimeout)
		m := receiver.Member(heartbeat)
		if fireflysaddle.Role(m.GetRole()) == fireflysaddle.RoleControl && m.GetAddress() != "" {
			s.cfg.AddReplica(m.GetAddress())
		}
	}
}

// Change redirects the caller, for example a joining replica, to a replica that may know
// the leader.
func (s *Server) Change(context.Context, *saddlewire.ReplicaChange) (*saddlewire.SubmitResponse, error) {
	return s.redirect(), nil
}

// Submit redirects the caller to a replica.
func (s *Server) Submit(context.Context, *saddlewire.SubmitRequest) (*saddlewire.SubmitResponse, error) {
	return s.redirect(), nil
}

func (s *Server) redirect() *saddlewire.SubmitResponse {
	out := &saddlewire.SubmitResponse{Refused: true}
	if replicas := s.cfg.Replicas(); len(replicas) > 0 {
		out.Leader = replicas[0]
	}
	return out
}
