package saddlerelay

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// chunkBytes is the largest number of bytes forwarded in one write.
const chunkBytes = 32 << 10

// Relay forwards connections to one upstream address. It is safe for concurrent use.
type Relay struct {
	lis      net.Listener
	upstream string
	wg       sync.WaitGroup

	mu            sync.Mutex
	blocked       bool
	dropDirection direction
	delay         time.Duration
	pairs         map[*connPair]struct{}
}

// direction is the direction of data through a relay.
type direction int

const (
	noDirection      direction = iota
	clientToUpstream           // from the connecting process to the upstream address
	upstreamToClient
)

// connPair is an accepted connection and the upstream connection to which it is
// forwarded.
type connPair struct {
	client, upstream net.Conn
	dropping         chan struct{} // closed by DropTraffic; all later data is discarded
}

// New listens on a loopback address and forwards connections to the upstream
// address. The returned function closes the listener and every connection.
func New(listen, upstream string) (*Relay, func(), error) {
	lis, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, nil, err
	}
	r := &Relay{lis: lis, upstream: upstream, pairs: map[*connPair]struct{}{}}
	r.wg.Go(r.accept)
	return r, r.close, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.lis.Addr().String() }

// CloseConns resets the open connections. It does not affect later connections.
func (r *Relay) CloseConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.reset()
	}
}

// DropTraffic discards all further data on the open connections without closing
// them. It does not affect later connections.
func (r *Relay) DropTraffic() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		select {
		case <-p.dropping:
		default:
			close(p.dropping)
		}
	}
}

// Block resets the open connections. Until Restore, it also closes each new
// connection immediately.
func (r *Relay) Block() {
	r.mu.Lock()
	r.blocked = true
	r.mu.Unlock()
	r.CloseConns()
}

// DropDirection discards the data of one direction until Restore, on open and on
// new connections. With toUpstream, it discards the data sent to the upstream
// address, otherwise the data sent by the upstream address.
func (r *Relay) DropDirection(toUpstream bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropDirection = upstreamToClient
	if toUpstream {
		r.dropDirection = clientToUpstream
	}
}

// Restore ends the effect of Block and DropDirection. After DropDirection it closes
// the open connections, because bytes are missing from their streams.
func (r *Relay) Restore() {
	r.mu.Lock()
	dropped := r.dropDirection != noDirection
	r.blocked = false
	r.dropDirection = noDirection
	r.mu.Unlock()
	if dropped {
		r.CloseConns()
	}
}

// SetDelay makes the relay wait for d before it forwards each chunk of data.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// OpenConns returns the number of open connections.
func (r *Relay) OpenConns() int {
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
		client, err := r.lis.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.wg.Go(func() { r.serve(client) })
	}
}

func (r *Relay) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	r.mu.Lock()
	blocked := r.blocked
	r.mu.Unlock()
	if blocked {
		return
	}
	var d net.Dialer
	upstream, err := d.DialContext(context.Background(), "tcp", r.upstream)
	if err != nil {
		return
	}
	p := &connPair{client: client, upstream: upstream, dropping: make(chan struct{})}
	r.mu.Lock()
	r.pairs[p] = struct{}{}
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { r.copyOneWay(p, client, upstream, clientToUpstream) })
	wg.Go(func() { r.copyOneWay(p, upstream, client, upstreamToClient) })
	wg.Wait()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// copyOneWay forwards the data of one direction until either end closes. The other end sees
// an orderly close only if that was one and no data was lost.
func (r *Relay) copyOneWay(p *connPair, from, to net.Conn, dir direction) {
	defer p.propagateClose(from)
	buf := make([]byte, chunkBytes)
	lost := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			if lost || !errors.Is(err, io.EOF) {
				setReset(to)
			}
			return
		}
		r.mu.Lock()
		delay, dropped := r.delay, r.dropDirection == dir
		r.mu.Unlock()
		time.Sleep(delay)
		if dropped {
			lost = true
			continue
		}
		select {
		case <-p.dropping:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// propagateClose closes both connections of the pair after one side has closed.
// After DropTraffic it closes only the connection of that side, so that the other
// side does not notice.
func (p *connPair) propagateClose(closed net.Conn) {
	select {
	case <-p.dropping:
		_ = closed.Close()
	default:
		p.close()
	}
}

// reset closes both connections in such a way that their other ends see a reset.
func (p *connPair) reset() {
	setReset(p.client)
	setReset(p.upstream)
	p.close()
}

// setReset makes the close of a connection a reset.
func setReset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
}

func (p *connPair) close() {
	_ = p.client.Close()
	_ = p.upstream.Close()
}
