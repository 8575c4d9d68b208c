package saddlestandin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// host serves a stand-in's HTTP interface. It can be killed, and frozen for a
// while.
type host struct {
	lis net.Listener
	srv *http.Server

	mu     sync.Mutex
	thawed chan struct{} // closed while not frozen
}

// newHost listens on a loopback address; port 0 lets the system choose.
func newHost(address string, routes http.Handler) (*host, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	h := &host{lis: lis, thawed: make(chan struct{})}
	close(h.thawed)
	h.srv = &http.Server{Handler: h.hold(routes)}
	return h, nil
}

// newUnlistened returns a host that is frozen and thawed but serves nothing.
func newUnlistened() *host {
	h := &host{thawed: make(chan struct{})}
	close(h.thawed)
	return h
}

// hold keeps requests waiting while the host is frozen.
func (h *host) hold(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.wait(r.Context()) {
			return
		}
		next.ServeHTTP(w, r)
	})
}

// wait waits until the host is not frozen; false: the context ended first.
func (h *host) wait(ctx context.Context) bool {
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

// Kill closes the listener and every connection at once.
func (h *host) Kill() { _ = h.srv.Close() }

// Freeze makes the host accept and answer nothing until Thaw.
func (h *host) Freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.thawed:
		h.thawed = make(chan struct{})
	default:
	}
}

// Thaw ends Freeze.
func (h *host) Thaw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.thawed:
	default:
		close(h.thawed)
	}
}
