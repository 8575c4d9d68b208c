package saddleentry_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

var (
	errNoListener = errors.New("connection refused")
	errReset      = errors.New("connection reset")
)

// network is an in-memory network between processes. Its connections can be suspended
// and reset.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener // listeners by address
	links     []*link
	endpoints []*endpoint
	cutPairs  map[[2]string]bool // pairs of processes that cannot exchange data
	onDial    func(from, to string)
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, cutPairs: map[[2]string]bool{}}
}

// forProcess returns the network interface of one process, which is valid until the
// process is killed.
func (n *network) forProcess(process string) fireflysaddle.Network {
	p := &endpoint{network: n, process: process}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints = append(n.endpoints, p)
	return p
}

// endpoint is the network interface of one process.
type endpoint struct {
	network *network
	process string
	killed  bool // guarded by network.mu
}

func (p *endpoint) Listen(address string) (net.Listener, error) {
	l := &listener{network: p.network, process: p.process, address: address, conns: make(chan net.Conn, 64), done: make(chan struct{})}
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.listeners[address] = l
	return l, nil
}

func (p *endpoint) Dial(ctx context.Context, address string) (net.Conn, error) {
	n := p.network
	n.mu.Lock()
	l := n.listeners[address]
	onDial := n.onDial
	dead := p.killed
	n.mu.Unlock()
	if l == nil || dead {
		return nil, errNoListener
	}
	n.mu.Lock()
	if n.listeners[address] != l || p.killed {
		n.mu.Unlock()
		return nil, errNoListener
	}
	if n.isCut(p.process, l.process) {
		n.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	forward, backward := newPipe(), newPipe()
	k := &link{from: p.process, to: l.process, forward: forward, backward: backward}
	n.links = append(n.links, k)
	n.mu.Unlock()
	l.conns <- &conn{in: forward, out: backward, address: address}
	if onDial != nil {
		onDial(p.process, l.process)
	}
	return &conn{in: backward, out: forward, address: address}, nil
}

func unorderedPair(process, peer string) [2]string {
	if process > peer {
		process, peer = peer, process
	}
	return [2]string{process, peer}
}

func (n *network) isCut(process, peer string) bool { return n.cutPairs[unorderedPair(process, peer)] }

// eachLink calls f with each connection between two processes.
func (n *network) eachLink(process, peer string, f func(*link)) {
	for _, k := range n.links {
		if unorderedPair(k.from, k.to) == unorderedPair(process, peer) {
			f(k)
		}
	}
}

// setSilent suspends or resumes the delivery on the open connections between two
// processes. New connections are not affected.
func (n *network) setSilent(process, peer string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.eachLink(process, peer, func(k *link) {
		k.forward.setSilent(silent)
		k.backward.setSilent(silent)
	})
}

// setCut suspends or resumes the delivery on open and new connections between two
// processes.
func (n *network) setCut(process, peer string, cut bool) {
	n.setSilent(process, peer, cut)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutPairs[unorderedPair(process, peer)] = cut
}

// reset resets the open connections between two processes.
func (n *network) reset(process, peer string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.eachLink(process, peer, func(k *link) {
		k.forward.closeWithError(errReset)
		k.backward.closeWithError(errReset)
	})
}

// kill resets all connections of a process and removes its listeners.
func (n *network) kill(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, k := range n.links {
		if k.from == process || k.to == process {
			k.forward.closeWithError(errReset)
			k.backward.closeWithError(errReset)
		}
	}
	for _, p := range n.endpoints {
		p.killed = p.killed || p.process == process
	}
	for address, l := range n.listeners {
		if l.process == process {
			delete(n.listeners, address)
		}
	}
}

// link is one connection.
type link struct {
	from, to          string
	forward, backward *pipe
}

// listener implements net.Listener.
type listener struct {
	network *network
	process string
	address string
	conns   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return memAddr(l.address) }

type memAddr string

func (memAddr) Network() string  { return "memory" }
func (a memAddr) String() string { return string(a) }

// conn is one end of a connection.
type conn struct {
	in, out *pipe
	address string
}

func (c *conn) Read(p []byte) (int, error)  { return c.in.read(p) }
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

func (c *conn) Close() error {
	c.in.closeWithError(net.ErrClosed)
	c.out.closeWithError(io.EOF)
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return memAddr(c.address) }
func (c *conn) RemoteAddr() net.Addr { return memAddr(c.address) }

func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// pipe is one direction of a connection. Writes never block.
type pipe struct {
	mu        sync.Mutex
	data      []byte
	err       error // error that read returns once all data is read; errReset and net.ErrClosed are returned even if data is left
	silent    bool  // delivery is suspended
	deadline  time.Time
	changed   chan struct{}
	writeHook func() // called once, after the first half of a write
}

func newPipe() *pipe { return &pipe{changed: make(chan struct{})} }

func (f *pipe) update(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *pipe) setSilent(silent bool)   { f.update(func() { f.silent = silent }) }
func (f *pipe) setDeadline(t time.Time) { f.update(func() { f.deadline = t }) }

func (f *pipe) closeWithError(err error) {
	f.update(func() {
		if f.err == nil || errors.Is(err, errReset) {
			f.err = err
		}
	})
}

// onWrite sets a function to be called in the middle of the next write.
func (f *pipe) onWrite(hook func()) { f.update(func() { f.writeHook = hook }) }

func (f *pipe) write(p []byte) (int, error) {
	f.mu.Lock()
	hook := f.writeHook
	f.writeHook = nil
	f.mu.Unlock()
	if hook == nil {
		return f.append(p)
	}
	half := len(p) / 2
	n, err := f.append(p[:half])
	if err != nil {
		return n, err
	}
	hook()
	m, err := f.append(p[half:])
	return n + m, err
}

func (f *pipe) append(p []byte) (int, error) {
	var err error
	f.update(func() {
		if err = f.err; f.silent && !errors.Is(err, errReset) {
			err = nil // while delivery is suspended, the writer cannot detect that the peer closed
		}
		if err == nil {
			f.data = append(f.data, p...)
		}
	})
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func (f *pipe) read(p []byte) (int, error) {
	for {
		f.mu.Lock()
		n, err := f.readAvailable(p)
		changed, deadline := f.changed, f.deadline
		f.mu.Unlock()
		if n > 0 || err != nil {
			return n, err
		}
		if deadline.IsZero() {
			<-changed
			continue
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (f *pipe) readAvailable(p []byte) (int, error) {
	switch {
	case !f.deadline.IsZero() && !time.Now().Before(f.deadline):
		return 0, os.ErrDeadlineExceeded
	case errors.Is(f.err, net.ErrClosed), errors.Is(f.err, errReset):
		return 0, f.err
	case f.silent:
		return 0, nil
	case len(f.data) > 0:
		n := copy(p, f.data)
		f.data = f.data[n:]
		return n, nil
	}
	return 0, f.err
}
