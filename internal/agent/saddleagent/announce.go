package saddleagent

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
)

// announceBodyLimit bounds the body of a request to the announce listener.
const announceBodyLimit = "64K"

func (s *Server) announceRoutes() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.Use(middleware.BodyLimit(announceBodyLimit))
	e.POST(saddleannounce.PathAnnounce, s.handleAnnounce)
	e.POST(saddleannounce.PathLeave, s.handleLeave)
	return e
}

func (s *Server) handleAnnounce(c echo.Context) error {
	var a saddleannounce.Announcement
	if err := c.Bind(&a); err != nil {
		return c.JSON(http.StatusBadRequest, saddleannounce.Reply{Reason: "the announcement is not valid JSON"})
	}
	if err := a.Check(); err != nil {
		return c.JSON(http.StatusBadRequest, saddleannounce.Reply{Reason: err.Error()})
	}
	countAnnouncements.Add(1)
	changed, err := s.localTarget.announce(time.Now(), a)
	if err != nil {
		return c.JSON(http.StatusConflict, saddleannounce.Reply{Reason: err.Error()})
	}
	if changed {
		s.cfg.Timeline.Add(time.Now(), saddletimeline.Event{Name: "target_announced", Target: a.ID})
		s.cfg.Log.Info().Str("target", a.ID).Uint64("incarnation", a.Incarnation).Msg("target announced")
		s.control.SendHeartbeats()
	}
	return c.JSON(http.StatusOK, saddleannounce.Reply{Accepted: true})
}

func (s *Server) handleLeave(c echo.Context) error {
	var l saddleannounce.Leave
	if err := c.Bind(&l); err != nil {
		return c.JSON(http.StatusBadRequest, saddleannounce.Reply{Reason: "the request is not valid JSON"})
	}
	if err := s.localTarget.setLeaving(l); err != nil {
		return c.JSON(http.StatusConflict, saddleannounce.Reply{Reason: err.Error()})
	}
	s.cfg.Timeline.Add(time.Now(), saddletimeline.Event{Name: "target_leaving", Target: l.ID})
	s.control.SendHeartbeats()
	return c.JSON(http.StatusOK, saddleannounce.Reply{Accepted: true})
}
