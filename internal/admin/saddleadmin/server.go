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

const headerTimeout = 5 * time.Second

// Server is an admin listener.
type Server struct {
	lis net.Listener
	srv *http.Server
}

// New opens the listener and returns its clean-up. ready returns nil when the
// process can serve.
func New(address string, ready func() error, timeline *saddletimeline.Ring) (*Server, func() error, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "listen on %s", address)
	}
	s := &Server{lis: lis, srv: &http.Server{Handler: routes(ready, timeline), ReadHeaderTimeout: headerTimeout}}
	return s, s.srv.Close, nil
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.srv.Close() })
	defer stop()
	if err := s.srv.Serve(s.lis); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func routes(ready func() error, timeline *saddletimeline.Ring) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET(PathLive, func(c echo.Context) error { return c.String(http.StatusOK, "live\n") })
	e.GET(PathReady, func(c echo.Context) error {
		if err := ready(); err != nil {
			return c.String(http.StatusServiceUnavailable, "not ready: "+err.Error()+"\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	e.GET(PathCounters, echo.WrapHandler(expvar.Handler()))
	e.GET(PathTimeline, func(c echo.Context) error { return c.JSON(http.StatusOK, timeline.Events()) })
	return e
}
