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
	headerTimeout = 5 * time.Second        // of the announce listener
	drainPoll     = 20 * time.Millisecond  // between looks at the work in progress
	settleTime    = 300 * time.Millisecond // for the last answers to go out
)

// Server is an agent. Run serves it.
type Server struct {
	cfg       Config
	lis       net.Listener
	announces net.Listener
	slot      *slot
	attendant *saddlesubscriber.Subscriber
	stages    *saddlestage.Runner
	stopStage func()

	ledgerMu sync.Mutex
	ledger   *saddleledger.Ledger

	stopping  atomic.Bool
	needsLoad atomic.Bool  // the engine is to load something
	active    atomic.Int64 // requests in progress
}

// New opens the listeners. The clean-up closes them.
func New(cfg Config) (*Server, func() error, error) {
	cfg.Network = saddlelink.NetworkOrTCP(cfg.Network)
	if cfg.Adapters == nil {
		cfg.Adapters = httpTargets{}
	}
	lis, err := cfg.Network.Listen(cfg.Listen)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "listen on %s", cfg.Listen)
	}
	announces, err := cfg.outside().Listen(cfg.AnnounceAddress)
	if err != nil {
		_ = lis.Close()
		return nil, nil, eris.Wrapf(err, "listen on %s", cfg.AnnounceAddress)
	}
	s := &Server{
		cfg:       cfg,
		lis:       lis,
		announces: announces,
		slot:      &slot{queueWait: cfg.MaxQueueWait, targets: cfg.Adapters},
		ledger:    saddleledger.New(),
	}
	s.attendant = saddlesubscriber.New(saddlesubscriber.Config{
		Controls:              cfg.Controls,
		HeartbeatInterval:     cfg.HeartbeatInterval,
		ControlSilenceTimeout: cfg.SilenceTimeout,
		Member:                s.member,
		Timeline:              cfg.Timeline,
		Network:               cfg.Network,
	}, nil)
	s.stages, s.stopStage = saddlestage.New(saddlestage.Config{
		Self:               cfg.Advertise,
		Incarnation:        cfg.Incarnation,
		Engine:             s.engine,
		Target:             s.targetID,
		Accepting:          s.accepting,
		HoldsStage:         s.holds,
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
		_ = announces.Close()
		return lis.Close()
	}
	return s, cleanup, nil
}

// Run serves until stop is closed and the work in progress has ended, or the
// context ends.
func (s *Server) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.stopStage()
	var g errgroup.Group
	g.Go(func() error { return s.attendant.Run(ctx) })
	g.Go(func() error { return s.probeTarget(ctx) })
	g.Go(func() error { return s.giveOrders(ctx) })
	g.Go(func() error { return s.serveAnnounce(ctx) })
	g.Go(func() error {
		return saddlelink.Serve(ctx, s.lis, func(mux drpc.Mux) error {
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

// Ready returns nil when the agent can serve.
func (s *Server) Ready() error {
	switch {
	case s.stopping.Load():
		return eris.New("stopping")
	case !s.attendant.View().Ready:
		return eris.New("no configuration yet")
	}
	if b, _ := s.slot.current(); b == nil {
		return eris.New("no target")
	}
	return nil
}

// drain refuses new work, tells control, and waits for the work in progress.
func (s *Server) drain(ctx context.Context) error {
	s.stopping.Store(true)
	s.cfg.Timeline.Add(time.Now(), saddletimeline.Event{Name: "drain_begin"})
	s.attendant.SendHeartbeats()
	if s.cfg.ShutdownTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.cfg.ShutdownTimeout)
		defer cancel()
	}
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for s.active.Load() > 0 || s.stages.Active() > 0 {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
	s.cfg.Timeline.Add(time.Now(), saddletimeline.Event{Name: "drain_end"})
	time.Sleep(settleTime)
	return nil
}

// member returns what the heartbeats say.
func (s *Server) member() *saddlewire.Member {
	view := s.attendant.View()
	m := &saddlewire.Member{
		Node:        string(s.cfg.Node),
		Role:        string(fireflysaddle.RoleAgent),
		Incarnation: uint64(s.cfg.Incarnation),
		Centre:      string(s.cfg.Centre),
		Address:     s.cfg.Advertise,
		Admin:       s.cfg.Admin,
		Leaving:     s.stopping.Load(),
		Revision:    view.Revision,
		Confirmed:   view.Confirmed,
		NeedsLoad:   s.needsLoad.Load(),
		Loading:     s.slot.carriesOut() != "",
	}
	if b, leaving := s.slot.current(); b != nil {
		m.Target = b.info
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

func (s *Server) engine() fireflysaddle.Engine {
	b, _ := s.slot.current()
	if b == nil || b.engine == nil {
		return nil
	}
	return b.engine
}

func (s *Server) targetID() fireflysaddle.TargetID {
	if b := s.slot.any(); b != nil {
		return b.id()
	}
	return ""
}

// accepting reports whether new work may begin at the target.
func (s *Server) accepting() bool {
	b, leaving := s.slot.current()
	return b != nil && !leaving && !s.stopping.Load() && !s.attendant.View().Drained(string(b.id()))
}

func (s *Server) serveAnnounce(ctx context.Context) error {
	srv := &http.Server{Handler: s.announceRoutes(), ReadHeaderTimeout: headerTimeout}
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
	if err := srv.Serve(s.announces); !eris.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// probeTarget checks again and again that the target answers.
func (s *Server) probeTarget(ctx context.Context) error {
	tick := time.NewTicker(s.cfg.ProbeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		b := s.slot.any()
		if b == nil {
			continue
		}
		probeCtx, cancel := context.WithTimeout(ctx, s.cfg.TargetLostTimeout)
		err := b.alive(probeCtx)
		cancel()
		if s.slot.probed(time.Now(), b, err == nil, s.cfg.TargetLostTimeout) {
			s.noteTarget(b, err == nil)
		}
	}
}

func (s *Server) noteTarget(b *backend, alive bool) {
	name := "target_lost"
	if alive {
		name = "target_back"
	}
	s.cfg.Timeline.Add(time.Now(), saddletimeline.Event{Name: name, Target: string(b.id())})
	s.cfg.Log.Info().Str("target", string(b.id())).Bool("alive", alive).Msg("target state changed")
	s.attendant.SendHeartbeats()
}
