package saddlerelay

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// chunkBytes is the most that is passed on at once.
const chunkBytes = 32 << 10

// Relay passes connections on to one address. It is safe for concurrent use.
type Relay struct {
	lis net.Listener
	to  string
	wg  sync.WaitGroup

	mu    sync.Mutex
	cut   bool
	mute  direction
	delay time.Duration
	pairs map[*pair]struct{}
}

// direction is that of bytes through a relay.
type direction int

const (
	neither direction = iota
	forth             // to the address that is relayed to
	back
)

// pair is one connection and the one that it is passed on to.
type pair struct {
	near, far net.Conn
	silent    chan struct{} // closed: nothing passes any more
}

// New listens on a loopback address and passes connections on to another one.
// The clean-up closes the listener and every connection.
func New(listen, to string) (*Relay, func(), error) {
	lis, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, nil, err
	}
	r := &Relay{lis: lis, to: to, pairs: map[*pair]struct{}{}}
	r.wg.Go(r.accept)
	return r, r.close, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.lis.Addr().String() }

// CloseConns closes the connections that are open; new ones work.
func (r *Relay) CloseConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.close()
	}
}

// DropTraffic makes the connections that are open pass nothing more, without
// closing them; new ones work.
func (r *Relay) DropTraffic() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		select {
		case <-p.silent:
		default:
			close(p.silent)
		}
	}
}

// Block closes the connections that are open and refuses new ones until Heal.
func (r *Relay) Block() {
	r.mu.Lock()
	r.cut = true
	r.mu.Unlock()
	r.CloseConns()
}

// DropDirection drops what passes one way, of open and of new connections, until Heal.
func (r *Relay) DropDirection(toTarget bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mute = back
	if toTarget {
		r.mute = forth
	}
}

// Restore ends Cut and Mute. A connection of which something was dropped is closed: its
// bytes are lost.
func (r *Relay) Restore() {
	r.mu.Lock()
	muted := r.mute != neither
	r.cut = false
	r.mute = neither
	r.mu.Unlock()
	if muted {
		r.CloseConns()
	}
}

// SetDelay holds back everything that passes by a time.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Open returns the number of connections that are open.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pairs)
}

func (r *Relay) close() {
	_ = r.lis.Close()
	r.CloseConns()
	r.wg.Wait()
}

func (r *Relay) accept() {
	for {
		near, err := r.lis.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.wg.Go(func() { r.serve(near) })
	}
}

func (r *Relay) serve(near net.Conn) {
	defer func() { _ = near.Close() }()
	r.mu.Lock()
	cut := r.cut
	r.mu.Unlock()
	if cut {
		return
	}
	var d net.Dialer
	far, err := d.DialContext(context.Background(), "tcp", r.to)
	if err != nil {
		return
	}
	p := &pair{near: near, far: far, silent: make(chan struct{})}
	r.mu.Lock()
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { r.pass(p, near, far, forth) })
	wg.Go(func() { r.pass(p, far, near, back) })
	wg.Wait()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// pass copies one direction until either end closes.
func (r *Relay) pass(p *pair, from, to net.Conn, way direction) {
	defer p.end(from)
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		delay, muted := r.delay, r.mute == way
		r.mu.Unlock()
		time.Sleep(delay)
		if muted {
			continue
		}
		select {
		case <-p.silent:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// end closes the pair after one side ended; the other side of a silent pair is
// not told.
func (p *pair) end(ended net.Conn) {
	select {
	case <-p.silent:
		_ = ended.Close()
	default:
		p.close()
	}
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}
