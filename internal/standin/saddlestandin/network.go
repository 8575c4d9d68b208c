package saddlestandin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Network connects parts of one process by in-memory connections, so that
// tests can run under virtual time, delay links, silence them and cut them.
// It is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	hosts map[string]func(net.Conn)
	delay map[route]time.Duration
	cut   map[route]bool
	conns map[*networkConn]route
}

// route is one direction between two addresses.
type route struct {
	from string
	to   string
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		hosts: map[string]func(net.Conn){},
		delay: map[route]time.Duration{},
		cut:   map[route]bool{},
		conns: map[*networkConn]route{},
	}
}

// Serve hands each connection to an address to accept, in a goroutine of its
// own, until Down.
func (n *Network) Serve(address string, accept func(net.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = accept
}

// StopHost closes every connection of an address and refuses new ones.
func (n *Network) StopHost(address string) {
	n.mu.Lock()
	delete(n.hosts, address)
	n.mu.Unlock()
	n.each(func(r route) bool { return r.from == address || r.to == address }, func(c *networkConn) { _ = c.Close() })
}

// SetDelay sets the one-way latency between two addresses, both ways, for
// connections that are opened later.
func (n *Network) SetDelay(a, b string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay[route{from: a, to: b}] = d
	n.delay[route{from: b, to: a}] = d
}

// Block closes the connections that from opened to to, and refuses new ones.
func (n *Network) Block(from, to string) {
	n.mu.Lock()
	n.cut[route{from: from, to: to}] = true
	n.mu.Unlock()
	n.CloseConns(from, to)
}

// CloseConns closes the connections that from opened to to; new ones work.
func (n *Network) CloseConns(from, to string) {
	n.each(func(r route) bool { return r.from == from && r.to == to }, func(c *networkConn) { _ = c.Close() })
}

// DropTraffic loses all that is sent from now on over the open connections that
// from opened to to, without an error to either end; new ones work.
func (n *Network) DropTraffic(from, to string) {
	n.each(func(r route) bool { return r.from == from && r.to == to }, (*networkConn).silence)
}

// Open returns the number of open connections that from opened to to.
func (n *Network) Open(from, to string) int {
	open := 0
	n.each(func(r route) bool { return r.from == from && r.to == to }, func(*networkConn) { open++ })
	return open
}

func (n *Network) each(which func(route) bool, do func(*networkConn)) {
	n.mu.Lock()
	var found []*networkConn
	for c, r := range n.conns {
		if which(r) {
			found = append(found, c)
		}
	}
	n.mu.Unlock()
	for _, c := range found {
		do(c)
	}
}

// Dial opens a connection between two addresses.
func (n *Network) Dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.mu.Lock()
	accept, ok := n.hosts[to]
	r := route{from: from, to: to}
	ok = ok && !n.cut[r]
	delay := n.delay[r]
	n.mu.Unlock()
	if err := passTime(ctx, 2*delay); err != nil {
		return nil, err
	}
	if !ok {
		return nil, fmt.Errorf("nothing listens on %s", to)
	}
	there, back := newFlow(delay), newFlow(delay)
	near := &networkConn{reads: back, writes: there}
	far := &networkConn{reads: there, writes: back}
	near.forget = func() { n.remove(near) }
	far.forget = near.forget
	n.mu.Lock()
	n.conns[near] = r
	n.mu.Unlock()
	go accept(far)
	return near, nil
}

func (n *Network) remove(c *networkConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func passTime(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
