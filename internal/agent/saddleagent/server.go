package saddleagent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/agent/saddleledger"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddlesubscriber"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlestage"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	headerTimeout     = 5 * time.Second        // limit for reading the headers of a request to the announce listener
	drainPollInterval = 20 * time.Millisecond  // time between checks for requests in progress
	flushDelay        = 300 * time.Millisecond // time after a drain in which the last answers reach the network
)

// Server is an agent. Run serves it.
type Server struct {
	cfg              Config
	rpcListener      net.Listener
	announceListener net.Listener
	localTarget      *localTarget
	control          *saddlesubscriber.Subscriber
	stages           *saddlestage.Runner
	stopStages       func()

	ledgerMu sync.Mutex
	ledger   *saddleledger.Ledger

	stopping  atomic.Bool
	needsLoad atomic.Bool  // the engine has to fetch weights to reach its desired state
	active    atomic.Int64 // requests in progress
}

// New opens the listeners and returns a function that closes them.
func New(cfg Config) (*Server, func() error, error) {
	cfg.Network = saddlelink.NetworkOrTCP(cfg.Network)
	if cfg.Adapters == nil {
		cfg.Adapters = httpAdapters{}
	}
	lis, err := cfg.Network.Listen(cfg.Listen)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "listen on %s", cfg.Listen)
	}
	announceListener, err := cfg.targetNetwork().Listen(cfg.AnnounceAddress)
	if err != nil {
		_ = lis.Close()
		return nil, nil, eris.Wrapf(err, "listen on %s", cfg.AnnounceAddress)
	}
	s := &Server{
		cfg:              cfg,
		rpcListener:      lis,
		announceListener: announceListener,
		localTarget:      &localTarget{maxQueueWait: cfg.MaxQueueWait, adapters: cfg.Adapters},
		ledger:           saddleledger.New(),
	}
	s.control = saddlesubscriber.New(saddlesubscriber.Config{
		Controls:              cfg.Controls,
		HeartbeatInterval:     cfg.HeartbeatInterval,
		ControlSilenceTimeout: cfg.SilenceTimeout,
		Member:                s.member,
		Timeline:              cfg.Timeline,
		Network:               cfg.Network,
		Log:                   cfg.Log,
	}, nil)
	s.stages, s.stopStages = saddlestage.New(saddlestage.Config{
		Self:               cfg.Advertise,
		Incarnation:        cfg.Incarnation,
		Engine:             s.engine,
		Target:             s.targetID,
		Accepting:          s.accepting,
		HoldsStage:         s.matchesStage,
		ProbeInterval:      cfg.StepTimeout,
		LinkSilenceTimeout: cfg.SilenceTimeout,
		Timeline:           cfg.Timeline,
		ExportInterval:     saddlestage.DefaultExportInterval,
		BufferBytes:        saddlestage.DefaultBufferBytes,
		Dial: func(ctx context.Context, address string) (*drpcconn.Conn, error) {
			return saddlelink.DialWithNetwork(ctx, cfg.Network, address)
		},
	})
	cleanup := func() error {
		_ = announceListener.Close()
		return lis.Close()
	}
	return s, cleanup, nil
}

// Run serves until the context ends, or until stop is closed and the requests in
// progress have ended or the shutdown timeout has passed.
func (s *Server) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.stopStages()
	var g errgroup.Group
	g.Go(func() error { return s.control.Run(ctx) })
	g.Go(func() error { return s.probeTarget(ctx) })
	g.Go(func() error { return s.reconcileOrders(ctx) })
	g.Go(func() error { return s.serveAnnounce(ctx) })
	g.Go(func() error {
		return saddlelink.Serve(ctx, s.rpcListener, func(mux drpc.Mux) error {
			return saddlewire.DRPCRegisterAgent(mux, s)
		})
	})
	g.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			return nil
		case <-stop:
			return s.drain(ctx)
		}
	})
	return g.Wait()
}

// Ready returns nil when the agent can serve requests, and otherwise the reason.
func (s *Server) Ready() error {
	switch {
	case s.stopping.Load():
		return eris.New("stopping")
	case !s.control.View().Ready:
		return eris.New("no configuration yet")
	}
	if b, _ := s.localTarget.live(); b == nil {
		return eris.New("no live target")
	}
	return nil
}

// drain refuses new requests and those that wait for a slot, reports the shutdown to
// control, and waits until the requests in progress have ended, at most for the shutdown
// timeout.
func (s *Server) drain(ctx context.Context) error {
	s.stopping.Store(true)
	now := time.Now()
	if b := s.localTarget.announced(); b != nil {
		b.gate.Close(now, shutdownRefusal())
	}
	s.cfg.Timeline.Add(now, saddletimeline.Event{Name: "drain_begin"})
	s.control.SendHeartbeats()
	if s.cfg.ShutdownTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.cfg.ShutdownTimeout)
		defer cancel()
	}
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for s.active.Load() > 0 || s.stages.Active() > 0 {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
	s.cfg.Timeline.Add(time.Now(), saddletimeline.Event{Name: "drain_end"})
	time.Sleep(flushDelay)
	return nil
}

// member returns the state that the heartbeats to control report.
func (s *Server) member() *saddlewire.Member {
	view := s.control.View()
	m := &saddlewire.Member{
		Node:        string(s.cfg.Node),
		Role:        string(fireflysaddle.RoleAgent),
		Incarnation: uint64(s.cfg.Incarnation),
		Centre:      string(s.cfg.Centre),
		Address:     s.cfg.Advertise,
		Admin:       s.cfg.Admin,
		Settings:    s.cfg.Settings,
		SettingsNs:  int64(s.cfg.Incarnation), // the time of the start; settings are read once
		Leaving:     s.stopping.Load(),
		Revision:    view.Revision,
		Confirmed:   view.Confirmed,
		NeedsLoad:   s.needsLoad.Load(),
		Loading:     s.localTarget.orderInProgress() != "",
	}
	if b, leaving := s.localTarget.live(); b != nil {
		m.Target = b.target
		m.Load = loadOf(time.Now(), b)
		m.Leaving = m.Leaving || leaving || view.Drained(string(b.id()))
	}
	return m
}

func loadOf(now time.Time, b *backend) *saddlewire.Load {
	load := b.gate.Load(now)
	return &saddlewire.Load{
		Running:  uint32(load.Running),
		Queued:   uint32(load.Queued),
		Finished: load.Finished,
		WaitMs:   float64(load.EstimatedWait) / float64(time.Millisecond),
	}
}

// engine returns the engine of the live target, or nil when there is none.
func (s *Server) engine() fireflysaddle.Engine {
	b, _ := s.localTarget.live()
	if b == nil || b.engine == nil {
		return nil
	}
	return b.engine
}

// targetID returns the ID of the announced target, also when it is lost, or the
// empty string when none is announced.
func (s *Server) targetID() fireflysaddle.TargetID {
	if b := s.localTarget.announced(); b != nil {
		return b.id()
	}
	return ""
}

// accepting reports whether the target may be given new requests.
func (s *Server) accepting() bool {
	b, leaving := s.localTarget.live()
	return b != nil && !leaving && !s.stopping.Load() && !s.control.View().Drained(string(b.id()))
}

func (s *Server) serveAnnounce(ctx context.Context) error {
	srv := &http.Server{Handler: s.announceRoutes(), ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	if err := srv.Serve(s.announceListener); !eris.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// probeTarget probes the target at the configured interval until the context ends.
func (s *Server) probeTarget(ctx context.Context) error {
	tick := time.NewTicker(s.cfg.ProbeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		b := s.localTarget.announced()
		if b == nil {
			continue
		}
		probeCtx, cancel := context.WithTimeout(ctx, s.cfg.TargetLostTimeout)
		err := b.alive(probeCtx)
		cancel()
		if s.localTarget.recordProbe(time.Now(), b, err == nil, s.cfg.TargetLostTimeout) {
			s.recordTargetState(b, err == nil)
		}
	}
}

func (s *Server) recordTargetState(b *backend, alive bool) {
	name := "target_lost"
	if alive {
		name = "target_back"
	}
	s.cfg.Timeline.Add(time.Now(), saddletimeline.Event{Name: name, Target: string(b.id())})
	s.cfg.Log.Info().Str("target", string(b.id())).Bool("alive", alive).Msg("target state changed")
	s.control.SendHeartbeats()
}
