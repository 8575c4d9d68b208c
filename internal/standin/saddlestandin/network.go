package saddlestandin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Network connects components of one process by in-memory connections, so that
// tests can run under virtual time and inject latency, packet loss and
// disconnections. It is safe for concurrent use.
type Network struct {
	mu       sync.Mutex
	handlers map[string]func(net.Conn)
	delays   map[route]time.Duration
	blocked  map[route]bool
	conns    map[*networkConn]route
}

// route is one direction between two addresses.
type route struct {
	from string
	to   string
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		handlers: map[string]func(net.Conn){},
		delays:   map[route]time.Duration{},
		blocked:  map[route]bool{},
		conns:    map[*networkConn]route{},
	}
}

// Serve calls handler in a new goroutine for each connection to an address, until
// StopHost. It returns immediately.
func (n *Network) Serve(address string, handler func(net.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

// StopHost closes every connection from or to an address. New connections to the
// address are refused.
func (n *Network) StopHost(address string) {
	n.mu.Lock()
	delete(n.handlers, address)
	n.mu.Unlock()
	n.forEachConn(func(r route) bool { return r.from == address || r.to == address }, func(c *networkConn) { _ = c.Close() })
}

// SetDelay sets the one-way latency in both directions between two addresses, for
// connections that are opened later.
func (n *Network) SetDelay(address, peer string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[route{from: address, to: peer}] = d
	n.delays[route{from: peer, to: address}] = d
}

// Block closes the connections from one address to another and refuses new ones
// in this direction.
func (n *Network) Block(from, to string) {
	n.mu.Lock()
	n.blocked[route{from: from, to: to}] = true
	n.mu.Unlock()
	n.CloseConns(from, to)
}

// CloseConns closes the open connections from one address to another. New ones
// can be opened.
func (n *Network) CloseConns(from, to string) {
	n.forEachConn(func(r route) bool { return r.from == from && r.to == to }, func(c *networkConn) { _ = c.Close() })
}

// DropTraffic discards the bytes in transit and all later bytes, in both
// directions, on the open connections from one address to another, without an
// error at either end. New connections are not affected.
func (n *Network) DropTraffic(from, to string) {
	n.forEachConn(func(r route) bool { return r.from == from && r.to == to }, (*networkConn).dropTraffic)
}

// OpenConns returns the number of open connections from one address to another.
func (n *Network) OpenConns(from, to string) int {
	open := 0
	n.forEachConn(func(r route) bool { return r.from == from && r.to == to }, func(*networkConn) { open++ })
	return open
}

func (n *Network) forEachConn(match func(route) bool, do func(*networkConn)) {
	n.mu.Lock()
	var matched []*networkConn
	for c, r := range n.conns {
		if match(r) {
			matched = append(matched, c)
		}
	}
	n.mu.Unlock()
	for _, c := range matched {
		do(c)
	}
}

// Dial opens a connection from one address to another. It takes one round trip,
// whether or not the connection is refused.
func (n *Network) Dial(ctx context.Context, from, to string) (net.Conn, error) {
	n.mu.Lock()
	handler, ok := n.handlers[to]
	r := route{from: from, to: to}
	ok = ok && !n.blocked[r]
	delay := n.delays[r]
	n.mu.Unlock()
	if err := sleep(ctx, 2*delay); err != nil {
		return nil, err
	}
	if !ok {
		return nil, fmt.Errorf("dial %s: connection refused", to)
	}
	outbound, inbound := newPipe(delay), newPipe(delay)
	local := &networkConn{incoming: inbound, outgoing: outbound}
	remote := &networkConn{incoming: outbound, outgoing: inbound}
	local.onClose = func() { n.removeConn(local) }
	remote.onClose = local.onClose
	n.mu.Lock()
	n.conns[local] = r
	n.mu.Unlock()
	go handler(remote)
	return local, nil
}

func (n *Network) removeConn(c *networkConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func sleep(ctx context.Context, d time.Duration) error {
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
