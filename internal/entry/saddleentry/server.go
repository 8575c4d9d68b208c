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
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleattend"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	headerTimeout = 5 * time.Second // for a caller to send its headers
	idleTimeout   = 2 * time.Minute // of a caller's connection
	maxHeader     = 32 << 10        // bytes
)

// Server is an entry. Run serves it.
type Server struct {
	cfg       Config
	lis       net.Listener
	attendant *saddleattend.Attendant
	router    *saddleroute.Router
	control   *saddleclient.Client
	pool      *saddlelink.Pool
	stopping  atomic.Bool
	following sync.WaitGroup  // work that goes on after its caller was answered
	life      context.Context //nolint:containedctx // ends with the server, for that work

	budgetMu sync.Mutex
	budget   *saddleretry.Budget
}

// New opens the listener. The clean-up closes it and the connections to other
// processes.
func New(cfg Config) (*Server, func() error, error) {
	cfg.Network = saddlelink.NetworkOrTCP(cfg.Network)
	lis, err := cfg.outside().Listen(cfg.Listen)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "listen on %s", cfg.Listen)
	}
	s := &Server{
		cfg:    cfg,
		lis:    lis,
		router: saddleroute.New(saddlechoice.NewLatencyChooser(rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Incarnation))))),
		budget: saddleretry.NewBudget(saddleretry.DefaultShare, saddleretry.DefaultReserve),
	}
	s.attendant = saddleattend.New(saddleattend.Config{
		Controls: cfg.Controls,
		Beat:     cfg.HeartbeatInterval,
		Silence:  cfg.ControlSilenceTimeout,
		Member:   s.member,
		Timeline: cfg.Timeline,
		Network:  cfg.Network,
	}, s.router.Prune)
	var closeControl, closePool func() error
	var endLife context.CancelFunc
	s.life, endLife = context.WithCancel(context.Background())
	s.control, closeControl = saddleclient.NewWithNetwork(cfg.Network, cfg.Controls, cfg.Timeline)
	s.pool, closePool = saddlelink.NewPoolWithNetwork(cfg.Network)
	cleanup := func() error {
		endLife()
		s.following.Wait()
		_ = lis.Close()
		return errors.Join(closeControl(), closePool())
	}
	return s, cleanup, nil
}

// Run serves until stop is closed and the work in progress has ended, or the
// context ends.
func (s *Server) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	srv := &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	var g errgroup.Group
	g.Go(func() error { return s.attendant.Run(ctx) })
	g.Go(func() error {
		if err := srv.Serve(s.lis); !errors.Is(err, http.ErrServerClosed) {
			cancel()
			return eris.Wrap(err, "serve callers")
		}
		return nil
	})
	g.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			return srv.Close()
		case <-stop:
			return s.shutdown(ctx, srv)
		}
	})
	return g.Wait()
}

// Ready returns nil when the entry can serve.
func (s *Server) Ready() error {
	switch {
	case s.stopping.Load():
		return eris.New("stopping")
	case !s.attendant.View().Ready:
		return eris.New("no configuration yet")
	}
	return nil
}

// shutdown turns unready, goes on accepting while the balancer reacts, then
// waits for the requests in progress.
func (s *Server) shutdown(ctx context.Context, srv *http.Server) error {
	s.stopping.Store(true)
	s.cfg.Timeline.Add(time.Now(), saddletimeline.Event{Name: "lame_duck"})
	s.attendant.Wake()
	select {
	case <-ctx.Done():
		return srv.Close()
	case <-time.After(s.cfg.LameDuck):
	}
	if s.cfg.ShutdownTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.cfg.ShutdownTimeout)
		defer cancel()
	}
	if err := srv.Shutdown(ctx); err != nil {
		return eris.Wrap(err, "requests were still in progress at the end of the shutdown time")
	}
	s.awaitFollowing(ctx)
	s.cfg.Timeline.Add(time.Now(), saddletimeline.Event{Name: "drain_end"})
	return nil
}

func (s *Server) member() *saddlewire.Member {
	view := s.attendant.View()
	return &saddlewire.Member{
		Node:        string(s.cfg.Node),
		Role:        string(fireflysaddle.RoleEntry),
		Incarnation: uint64(s.cfg.Incarnation),
		Centre:      string(s.cfg.Centre),
		Address:     s.cfg.Listen,
		Admin:       s.cfg.Admin,
		Leaving:     s.stopping.Load(),
		Revision:    view.Revision,
		Confirmed:   view.Confirmed,
	}
}

func (s *Server) routes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = handleError
	e.Use(middleware.Recover())
	e.Use(readBody(s.cfg.BodyLimit))
	e.POST("/v1/chat/completions", s.handleChat)
	e.POST("/v1/completions", s.handleCompletion)
	e.POST(saddleannounce.PathAnnounce, refuseAnnouncement)
	e.POST(saddleannounce.PathLeave, refuseAnnouncement)
	e.Any("/services/:group", s.handleService)
	e.Any("/services/:group/*", s.handleService)
	return e
}

// refuseAnnouncement tells a target that it came to the wrong process: only the
// agent in its slot can count, fence and drain it.
func refuseAnnouncement(c echo.Context) error {
	return c.JSON(http.StatusMisdirectedRequest, saddleannounce.Reply{Reason: "this is an entry; announce to the agent in the target's slot"})
}

// handleError answers what the routes did not: unknown paths and methods.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var he *echo.HTTPError
	f := &failure{Code: fireflysaddle.CodeOutcomeUnknown, Message: "internal error", ExecutionStatus: fireflysaddle.ExecutionUnknown}
	if errors.As(err, &he) {
		f = notRun(fireflysaddle.CodeNotFound, http.StatusText(he.Code), 0)
	}
	_ = f.write(c)
}
