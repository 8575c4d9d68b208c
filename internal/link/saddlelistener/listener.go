package saddlelistener

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// unusedConnTimeout is how long a shutdown waits for the first byte on a new connection.
	// The shutdown of net/http waits as long.
	unusedConnTimeout = 5 * time.Second
	// drainInterval is the time between checks for connections that have become unused.
	drainInterval = 20 * time.Millisecond
)

// Listener is a listener that knows the open connections that it has accepted. A TLS listener
// may wrap it.
type Listener struct {
	net.Listener

	mu   sync.Mutex
	open map[*conn]struct{}
}

// New returns a listener that accepts the connections of another.
func New(lis net.Listener) *Listener {
	return &Listener{Listener: lis, open: map[*conn]struct{}{}}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, openedAt: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// Observe follows the states of the connections. It is to be the ConnState function of the
// server.
func (l *Listener) Observe(served net.Conn, state http.ConnState) {
	if t, ok := served.(*tls.Conn); ok {
		served = t.NetConn()
	}
	c, ok := served.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.beginRequest()
	case http.StateIdle:
		c.endRequest()
	case http.StateClosed, http.StateHijacked:
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.open, c)
	case http.StateNew:
	}
}

// CloseUnusedUntil closes the connections between requests until the context ends.
func (l *Listener) CloseUnusedUntil(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		l.closeUnused(time.Now())
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// Drain closes the connections between requests and returns when none is left, or when the
// context ends. The listener has to be closed and the server's Serve to have returned.
func (l *Listener) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		if l.closeUnused(time.Now()) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// closeUnused closes the connections between requests. It returns the number of those that
// net/http still serves.
func (l *Listener) closeUnused(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.closeUnused(now)
	}
	return len(l.open)
}
