package saddlestandin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleservice"
)

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Address     string // loopback IP:port; with port 0 the system chooses the port
	ID          string
	Group       string
	Version     string
	Slots       int           // announced only, not enforced
	CallTime    time.Duration // how long a call runs
	Incarnation uint64
}

// ServiceCall is one call that a service ran.
type ServiceCall struct {
	Request string // request ID
	Method  string
	Path    string
	Body    string
}

// Service is a test double of a plain HTTP service. It runs and records every
// call that it receives and does not deduplicate repeated ones.
type Service struct {
	*host
	cfg ServiceConfig

	mu        sync.Mutex
	calls     []ServiceCall
	afterCall func(ServiceCall) (abort bool)
}

// NewService starts a service. The returned function stops it.
func NewService(cfg ServiceConfig) (*Service, func(), error) {
	s := &Service{cfg: cfg}
	h, err := newHost(cfg.Address, http.HandlerFunc(s.handle))
	if err != nil {
		return nil, nil, err
	}
	s.host = h
	go func() { _ = h.serve() }()
	return s, h.Kill, nil
}

// AfterCall sets a function that is called after a call has run and before it is
// answered. If it returns true, the connection is closed without an answer.
func (s *Service) AfterCall(fn func(ServiceCall) (abort bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.afterCall = fn
}

// Calls returns the calls that ran, oldest first.
func (s *Service) Calls() []ServiceCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ServiceCall(nil), s.calls...)
}

// Announcement returns the announcement of the service.
func (s *Service) Announcement() saddleannounce.Announcement {
	return saddleannounce.Announcement{
		ID:          s.cfg.ID,
		Kind:        "service",
		Group:       s.cfg.Group,
		Version:     s.cfg.Version,
		Slots:       uint32(s.cfg.Slots),
		Address:     s.Address(),
		Incarnation: s.cfg.Incarnation,
	}
}

func (s *Service) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	call := ServiceCall{Request: r.Header.Get(saddleservice.RequestHeader), Method: r.Method, Path: r.URL.Path, Body: string(body)}
	s.mu.Lock()
	s.calls = append(s.calls, call)
	number := len(s.calls)
	afterCall := s.afterCall
	s.mu.Unlock()
	time.Sleep(s.cfg.CallTime)
	if afterCall != nil && afterCall(call) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if r.Method == http.MethodPost {
		w.WriteHeader(http.StatusCreated)
	}
	_, _ = fmt.Fprintf(w, `{"receipt":"%s-%d"}`, s.cfg.ID, number)
}
