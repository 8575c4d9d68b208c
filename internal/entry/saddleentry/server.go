package saddleentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddlechoice"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelistener"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddlesubscriber"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	headerTimeout  = 5 * time.Second // limit for a caller to send its headers
	idleTimeout    = 2 * time.Minute // idle time after which a caller's keep-alive connection is closed
	maxHeaderBytes = 32 << 10        // total size of a request's headers
)

// Server is the entry daemon. Use New to create it and Run to serve.
type Server struct {
	cfg           Config
	listener      net.Listener
	callers       *saddlelistener.Listener // the connections of listener
	subscriber    *saddlesubscriber.Subscriber
	router        *saddleroute.Router
	control       *saddleclient.Client
	pool          *saddlelink.Pool
	stopping      atomic.Bool
	end           *shutdownEnd
	background    sync.WaitGroup  // work that continues after its caller was answered
	backgroundCtx context.Context //nolint:containedctx // context of the background work; cancelled by the clean-up function that New returns

	budgetMu sync.Mutex
	budget   *saddleretry.Budget
}

// New creates a Server and opens its listener. The returned clean-up function cancels
// the background work, waits until that work has ended, and closes the listener and the
// connections to other processes.
func New(cfg Config) (*Server, func() error, error) {
	cfg.Network = saddlelink.NetworkOrTCP(cfg.Network)
	var callers *saddlelistener.Listener
	lis, err := saddlelink.ListenWrapped(cfg.callerNetwork(), cfg.Listen, func(lis net.Listener) net.Listener {
		callers = saddlelistener.New(lis)
		return callers
	})
	if err != nil {
		return nil, nil, eris.Wrapf(err, "listen on %s", cfg.Listen)
	}
	s := &Server{
		cfg:      cfg,
		listener: lis,
		callers:  callers,
		end:      newShutdownEnd(),
		router:   saddleroute.New(saddlechoice.NewLatencyChooser(rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Incarnation))))),
		budget:   saddleretry.NewBudget(saddleretry.DefaultShare, saddleretry.DefaultReserve),
	}
	s.subscriber = saddlesubscriber.New(saddlesubscriber.Config{
		Controls:              cfg.Controls,
		HeartbeatInterval:     cfg.HeartbeatInterval,
		ControlSilenceTimeout: cfg.ControlSilenceTimeout,
		Member:                s.member,
		Timeline:              cfg.Timeline,
		Network:               cfg.Network,
		Log:                   cfg.Log,
	}, s.router.Prune)
	var closeControl, closePool func() error
	var cancelBackground context.CancelFunc
	s.backgroundCtx, cancelBackground = context.WithCancel(context.Background())
	s.control, closeControl = saddleclient.NewWithNetwork(cfg.Network, cfg.Controls, cfg.Timeline)
	s.pool, closePool = saddlelink.NewPoolWithNetwork(cfg.Network)
	cleanup := func() error {
		cancelBackground()
		s.background.Wait()
		_ = lis.Close()
		return errors.Join(closeControl(), closePool())
	}
	return s, cleanup, nil
}

// Run serves until stop is closed and the requests in progress have ended, or until
// ctx is done.
func (s *Server) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	g.Go(func() error { return s.subscriber.Run(ctx) })
	g.Go(func() error {
		defer cancel()
		return s.serveCallers(ctx, stop)
	})
	return g.Wait()
}

func (s *Server) serveCallers(ctx context.Context, stop <-chan struct{}) error {
	srv := &http.Server{
		Handler:           s.routes(),
		ConnState:         s.callers.Observe,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(s.listener) }()
	select {
	case err := <-served:
		return eris.Wrap(err, "serve callers")
	case <-ctx.Done():
		return srv.Close()
	case <-stop:
		return s.shutdown(ctx, srv, served)
	}
}

// Ready returns nil if the entry can serve requests, and otherwise the reason.
func (s *Server) Ready() error {
	switch {
	case s.stopping.Load():
		return eris.New("stopping")
	case !s.subscriber.View().Ready:
		return eris.New("no configuration yet")
	}
	return nil
}

// shutdown reports the entry as not ready, closes the connections between requests, continues
// to accept new ones for the lame-duck time while the load balancer reacts, and then waits for
// the requests in progress and the background work. ShutdownTimeout limits this wait; requests
// that are still in progress shortly before are given up, so that their callers get a failure.
func (s *Server) shutdown(ctx context.Context, srv *http.Server, served <-chan error) error {
	s.stopping.Store(true)
	s.cfg.Timeline.Add(time.Now(), saddletimeline.Event{Name: "lame_duck"})
	if s.cfg.ShutdownTimeout > 0 {
		defer s.end.schedule(time.Now(), s.cfg.LameDuck+s.cfg.ShutdownTimeout)()
	}
	s.subscriber.SendHeartbeats()
	closingCtx, stopClosing := context.WithCancel(ctx)
	defer stopClosing()
	go s.callers.CloseUnusedUntil(closingCtx)
	select {
	case err := <-served:
		return eris.Wrap(err, "serve callers")
	case <-ctx.Done():
		return srv.Close()
	case <-time.After(s.cfg.LameDuck):
	}
	if s.cfg.ShutdownTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.cfg.ShutdownTimeout)
		defer cancel()
	}
	err := s.listener.Close()
	if serveErr := <-served; !errors.Is(serveErr, net.ErrClosed) {
		err = errors.Join(err, serveErr)
	}
	if drainErr := s.callers.Drain(ctx); drainErr != nil {
		return errors.Join(err, eris.Wrap(drainErr, "requests still in progress at the shutdown timeout"))
	}
	s.awaitBackground(ctx)
	s.cfg.Timeline.Add(time.Now(), saddletimeline.Event{Name: "drain_end"})
	return err
}

func (s *Server) member() *saddlewire.Member {
	view := s.subscriber.View()
	return &saddlewire.Member{
		Node:        string(s.cfg.Node),
		Role:        string(fireflysaddle.RoleEntry),
		Incarnation: uint64(s.cfg.Incarnation),
		Centre:      string(s.cfg.Centre),
		Address:     s.cfg.Listen,
		Admin:       s.cfg.Admin,
		Settings:    s.cfg.Settings,
		SettingsNs:  int64(s.cfg.Incarnation), // the time of the start; settings are read once
		Leaving:     s.stopping.Load(),
		Revision:    view.Revision,
		Confirmed:   view.Confirmed,
	}
}

func (s *Server) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = handleError
	e.Pre(s.closeConnections)
	e.Use(middleware.Recover())
	e.Use(s.readBody)
	e.POST("/v1/chat/completions", s.handleChat)
	e.POST("/v1/completions", s.handleCompletion)
	e.POST(saddleannounce.PathAnnounce, refuseAnnouncement)
	e.POST(saddleannounce.PathLeave, refuseAnnouncement)
	e.Any("/services/:group", s.handleService)
	e.Any("/services/:group/*", s.handleService)
	return e
}

// closeConnections makes the answers that begin during the shutdown close their connections, so
// that callers send no further request on a connection that is about to be closed.
func (s *Server) closeConnections(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			if s.stopping.Load() {
				c.Response().Header().Set(echo.HeaderConnection, "close")
			}
		})
		return next(c)
	}
}

// refuseAnnouncement rejects the announcement of a target: only the target's local
// agent can limit the requests in progress there, check the fencing tokens of its
// orders and drain it.
func refuseAnnouncement(c echo.Context) error {
	return c.JSON(http.StatusMisdirectedRequest, saddleannounce.Reply{Reason: "this is an entry; announce to the target's local agent"})
}

// handleError answers requests that no handler has answered, such as those for unknown
// paths and methods and those whose handler panicked.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var he *echo.HTTPError
	f := &failure{Code: fireflysaddle.CodeOutcomeUnknown, Message: "internal error", ExecutionStatus: fireflysaddle.ExecutionUnknown}
	if errors.As(err, &he) {
		f = notRunFailure(fireflysaddle.CodeNotFound, http.StatusText(he.Code), 0)
	}
	_ = f.write(c)
}
