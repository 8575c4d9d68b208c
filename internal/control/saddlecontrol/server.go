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

// Server is a control replica.
type Server struct {
	cfg    Config
	core   *core
	events chan event
	lis    net.Listener
	done   chan struct{} // closed when the core has stopped
	pool   *saddlelink.Pool

	snapshots snapshotQueue
}

// New opens the data folder and the listener. The returned function closes them and the
// connections to other replicas. If it fails, as it may on a full disk, it has to be called again
// before the data folder is reopened.
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
	s := &Server{cfg: cfg, core: c, events: make(chan event, eventQueueLen), lis: lis, done: make(chan struct{}), pool: pool}
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

// Run serves until the context ends. It returns at once when the store fails, so
// that it acknowledges no entry that is not stored.
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
		wg.Go(func() { s.maintainMembership(ctx) })
	}
	if s.cfg.RegistryFile != "" {
		wg.Go(func() { s.saveRegistry(ctx) })
	}
	err := s.core.run(ctx, s.events)
	close(s.done)
	cancel()
	s.core.peers.wait()
	return err
}

// post queues an event for the core.
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

// ask queues an event for the core and waits for its reply.
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

// Submit proposes a command and returns its result once the command is committed. If the
// response holds neither a refusal nor a result, the outcome is unknown.
func (s *Server) Submit(ctx context.Context, in *saddlewire.SubmitRequest) (*saddlewire.SubmitResponse, error) {
	now := time.Now()
	s.cfg.Timeline.Observe(now, in.GetStamp())
	if in.GetCommand() == nil {
		return nil, eris.New("request without a command")
	}
	reply := make(chan *saddlewire.SubmitResponse, 1)
	return ask(ctx, s, submitEvent{at: now, command: in.GetCommand(), reply: reply}, reply)
}

// Change adds, removes or replaces a replica. It returns the result of the first change
// of the membership. Later changes complete a replacement: they promote the new replica
// and remove the old one. Read shows when the replacement is complete.
func (s *Server) Change(ctx context.Context, in *saddlewire.ReplicaChange) (*saddlewire.SubmitResponse, error) {
	reply := make(chan *saddlewire.SubmitResponse, 1)
	return ask(ctx, s, changeEvent{change: in, reply: reply}, reply)
}

// Read returns the state as applied on this replica.
func (s *Server) Read(ctx context.Context, in *saddlewire.ReadRequest) (*saddlewire.ReadResponse, error) {
	reply := make(chan *saddlewire.ReadResponse, 1)
	return ask(ctx, s, readEvent{request: in, reply: reply}, reply)
}

// Exchange receives Raft messages of another replica.
func (s *Server) Exchange(ctx context.Context, in *saddlewire.MessageBatch) (*saddlewire.Empty, error) {
	return &saddlewire.Empty{}, s.post(ctx, messageEvent{messages: in.GetMessages()})
}

// LeaseTerm returns the term in which this replica leads, 0 when it does not lead or
// its lease is not valid.
func (s *Server) LeaseTerm() uint64 { return s.core.lease.Load() }

// Ready returns nil when the replica knows a leader and is up to date with it.
func (s *Server) Ready() error {
	switch {
	case s.core.confirmed.Load():
		return nil
	case s.core.logEmpty.Load() && s.cfg.Join:
		return eris.New("replica is waiting to be added to its group; see saddlectl control-replace")
	case s.core.logEmpty.Load():
		return eris.New("new group is waiting for all its replicas to start")
	}
	return eris.New("no leader with a majority is known")
}
