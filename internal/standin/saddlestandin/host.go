package saddlestandin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// host serves the HTTP interface of a test double. It can be killed, or frozen
// until it is thawed.
type host struct {
	lis net.Listener
	srv *http.Server

	mu     sync.Mutex
	thawed chan struct{} // closed while not frozen
}

// newHost listens on address. With port 0 the system chooses the port.
func newHost(address string, routes http.Handler) (*host, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	h := &host{lis: lis, thawed: make(chan struct{})}
	close(h.thawed)
	h.srv = &http.Server{Handler: h.holdWhileFrozen(routes)}
	return h, nil
}

// newHostWithoutListener returns a host that can be frozen and thawed but serves
// nothing.
func newHostWithoutListener() *host {
	h := &host{thawed: make(chan struct{})}
	close(h.thawed)
	return h
}

// holdWhileFrozen delays requests while the host is frozen.
func (h *host) holdWhileFrozen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.waitThawed(r.Context()) {
			return
		}
		next.ServeHTTP(w, r)
	})
}

// waitThawed waits until the host is not frozen. It returns false if the context
// ended first.
func (h *host) waitThawed(ctx context.Context) bool {
	h.mu.Lock()
	thawed := h.thawed
	h.mu.Unlock()
	select {
	case <-thawed:
		return true
	case <-ctx.Done():
		return false
	}
}

func (h *host) serve() error {
	if err := h.srv.Serve(h.lis); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Address returns the host's IP:port.
func (h *host) Address() string { return h.lis.Addr().String() }

// Kill closes the listener and every connection immediately.
func (h *host) Kill() { _ = h.srv.Close() }

// Freeze stops the handling of requests until Thaw. Connections stay open.
func (h *host) Freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.thawed:
		h.thawed = make(chan struct{})
	default:
	}
}

// Thaw resumes the handling of requests after Freeze.
func (h *host) Thaw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.thawed:
	default:
		close(h.thawed)
	}
}
