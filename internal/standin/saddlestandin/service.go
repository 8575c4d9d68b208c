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

// ServiceConfig describes a stand-in plain service.
type ServiceConfig struct {
	Address     string // loopback IP:port, port 0 chosen by the system
	ID          string
	Group       string
	Version     string
	Slots       int
	CallTime    time.Duration
	Incarnation uint64
}

// ServiceCall is one call that a service ran.
type ServiceCall struct {
	Request string
	Method  string
	Path    string
	Body    string
}

// Service is a stand-in for a plain service such as a filing desk. It runs
// every call that reaches it, however often, and records it.
type Service struct {
	*host
	cfg ServiceConfig

	mu      sync.Mutex
	calls   []ServiceCall
	afterFn func(ServiceCall) (breakOff bool)
}

// NewService starts a service and returns its clean-up.
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

// AfterCall has a function called after a call has run and before it is
// answered; where it returns true the connection breaks off without an answer.
func (s *Service) AfterCall(fn func(ServiceCall) (breakOff bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.afterFn = fn
}

// Calls returns the calls that ran.
func (s *Service) Calls() []ServiceCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ServiceCall(nil), s.calls...)
}

// Announcement returns what the service says of itself.
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
	after := s.afterFn
	s.mu.Unlock()
	time.Sleep(s.cfg.CallTime)
	if after != nil && after(call) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if r.Method == http.MethodPost {
		w.WriteHeader(http.StatusCreated)
	}
	_, _ = fmt.Fprintf(w, `{"receipt":"%s-%d"}`, s.cfg.ID, number)
}
