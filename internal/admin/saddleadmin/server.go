package saddleadmin

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
)

const (
	headerTimeout  = 5 * time.Second  // for a caller to send the request header
	readTimeout    = 10 * time.Second // for a caller to send the whole request
	writeTimeout   = 30 * time.Second // for a caller to read the response
	idleTimeout    = time.Minute      // between requests on one connection
	maxHeaderBytes = 16 << 10
)

// Server is an admin listener.
type Server struct {
	lis net.Listener
	srv *http.Server
}

// New opens the listener and returns a function that closes it. ready returns
// nil if the process can serve. If keys is not nil, counters and timeline require
// one of the keys; liveness and readiness never do, because load balancers have
// no key.
func New(address string, keys *Keys, ready func() error, timeline *saddletimeline.Ring) (*Server, func() error, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "listen on %s", address)
	}
	s := &Server{lis: lis, srv: &http.Server{
		Handler:           newHandler(keys, ready, timeline),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}}
	return s, s.srv.Close, nil
}

// Run serves until the context is done.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.srv.Close() })
	defer stop()
	if err := s.srv.Serve(s.lis); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func newHandler(keys *Keys, ready func() error, timeline *saddletimeline.Ring) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET(PathLive, func(c echo.Context) error { return c.String(http.StatusOK, "live\n") })
	e.GET(PathReady, func(c echo.Context) error {
		if err := ready(); err != nil {
			return c.String(http.StatusServiceUnavailable, "not ready: "+err.Error()+"\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.GET(PathCounters, echo.WrapHandler(expvar.Handler()), requireKey(keys))
	e.GET(PathTimeline, func(c echo.Context) error { return serveTimeline(c, timeline) }, requireKey(keys))
	return e
}

// requireKey rejects requests without one of the keys.
func requireKey(keys *Keys) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if !keys.Allow(c.Request().Header.Get(echo.HeaderAuthorization)) {
				countDenied.Add(1)
				return c.String(http.StatusUnauthorized, "a bearer key of this admin listener is required\n")
			}
			return next(c)
		}
	}
}
