package saddlecontrol

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Server is a control replica. Run serves it.
type Server struct {
	cfg    Config
	core   *core
	events chan event
	lis    net.Listener
	done   chan struct{} // closed when the core has stopped
	pool   *saddlelink.Pool
}

// New opens the data folder and the listener. The clean-up closes both.
func New(now time.Time, cfg Config) (*Server, func() error, error) {
	store, loaded, closeStore, err := openStore(cfg)
	if err != nil {
		return nil, nil, err
	}
	c, err := newCore(now, cfg, store, loaded)
	if err != nil {
		_ = closeStore()
		return nil, nil, eris.Wrap(err, "decode snapshot")
	}
	cfg.Network = saddlelink.NetworkOrTCP(cfg.Network)
	lis, err := cfg.Network.Listen(cfg.Listen)
	if err != nil {
		_ = closeStore()
		return nil, nil, eris.Wrapf(err, "listen on %s", cfg.Listen)
	}
	pool, closePool := saddlelink.NewPoolWithNetwork(cfg.Network)
	s := &Server{cfg: cfg, core: c, events: make(chan event, eventQueue), lis: lis, done: make(chan struct{}), pool: pool}
	cleanup := func() error {
		_ = lis.Close()
		_ = closePool()
		return closeStore()
	}
	return s, cleanup, nil
}

func openStore(cfg Config) (*saddlestore.Store, saddlestore.Loaded, func() error, error) {
	if cfg.Files != nil {
		return saddlestore.OpenFS(cfg.Files, saddlestore.SegmentBytes)
	}
	return saddlestore.Open(cfg.DataDir)
}

// Run serves until the context ends. An error of the store ends it at once:
// nothing that was not stored is acknowledged.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		_ = saddlelink.Serve(ctx, s.lis, func(mux drpc.Mux) error {
			return saddlewire.DRPCRegisterControl(mux, s)
		})
	})
	if s.cfg.DesiredVoters > 0 {
		wg.Go(func() { s.keepJoined(ctx) })
	}
	if s.cfg.RegistryFile != "" {
		wg.Go(func() { s.keepRegistry(ctx) })
	}
	err := s.core.run(ctx, s.events)
	close(s.done)
	cancel()
	s.core.peers.wait()
	return err
}

// post hands an event to the core.
func (s *Server) post(ctx context.Context, e event) error {
	select {
	case s.events <- e:
		return nil
	case <-s.done:
		return eris.New("this replica has stopped")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ask hands an event to the core and waits for its reply.
func ask[T any](ctx context.Context, s *Server, e event, reply <-chan T) (T, error) {
	var zero T
	if err := s.post(ctx, e); err != nil {
		return zero, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-s.done:
		return zero, eris.New("this replica has stopped")
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// Submit proposes a command and returns its result once it is committed.
func (s *Server) Submit(ctx context.Context, in *saddlewire.SubmitRequest) (*saddlewire.SubmitResponse, error) {
	now := time.Now()
	s.cfg.Timeline.Observe(now, in.GetStamp())
	if in.GetCommand() == nil {
		return nil, eris.New("the request holds no command")
	}
	reply := make(chan *saddlewire.SubmitResponse, 1)
	return ask(ctx, s, submitEvent{at: now, command: in.GetCommand(), reply: reply}, reply)
}

// Change adds, removes or replaces a replica. The result is that of the first
// step; a replacement goes on until Read shows it done.
func (s *Server) Change(ctx context.Context, in *saddlewire.ReplicaChange) (*saddlewire.SubmitResponse, error) {
	reply := make(chan *saddlewire.SubmitResponse, 1)
	return ask(ctx, s, changeEvent{change: in, reply: reply}, reply)
}

// Read returns the state.
func (s *Server) Read(ctx context.Context, in *saddlewire.ReadRequest) (*saddlewire.ReadResponse, error) {
	reply := make(chan *saddlewire.ReadResponse, 1)
	return ask(ctx, s, readEvent{request: in, reply: reply}, reply)
}

// Exchange takes in messages of another replica.
func (s *Server) Exchange(ctx context.Context, in *saddlewire.MessageBatch) (*saddlewire.Empty, error) {
	return &saddlewire.Empty{}, s.post(ctx, messageEvent{messages: in.GetMessages()})
}

// LeaseTerm returns the term that this replica leads, 0 when it does not lead or
// cannot be sure.
func (s *Server) LeaseTerm() uint64 { return s.core.lease.Load() }

// Ready returns nil when the replica knows a leader and is up to date with it.
func (s *Server) Ready() error {
	switch {
	case s.core.confirmed.Load():
		return nil
	case s.core.empty.Load() && s.cfg.Join:
		return eris.New("the replica waits to be added; see saddlectl control-replace")
	case s.core.empty.Load():
		return eris.New("a new group starts once all its replicas run")
	}
	return eris.New("no leader with a majority is known")
}
