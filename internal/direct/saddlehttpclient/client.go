package saddlehttpclient

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	// dialTimeout bounds the opening of a connection: within a data centre it
	// takes under a millisecond, and a lost first packet is sent again after a
	// second, by when another target has answered.
	dialTimeout = 400 * time.Millisecond
	// freshIdle is how long a connection for a request that must not meet the
	// target's idle timeout may have been idle.
	freshIdle = 300 * time.Millisecond
	// maxIdle bounds the idle connections to one target, which accepts some fifty
	// from all entries.
	maxIdle = 6
	// maxStray bounds the answers to earlier requests that are passed over on one
	// connection.
	maxStray = 2
	// wholeBody is the size up to which a body is written before the answer is
	// read: it fits into the buffers of a connection.
	wholeBody = 16 << 10
)

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns a client and its clean-up, which closes the idle connections.
func New() (*Client, func() error) {
	c := &Client{dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1}, idle: map[string][]*conn{}}
	return c, c.close
}

// Request is one request.
type Request struct {
	Address string
	HTTP    *http.Request // its body must not be set
	Body    []byte
	Fresh   bool // only over a connection that has hardly been idle
	// Belongs reports whether an answer's head is that of this request; first: it
	// is the first one on its connection. Answers of earlier requests that come
	// late are passed over.
	MatchAnswer func(h http.Header, first bool) bool
}

// Do sends a request once and returns the head of its answer. The caller closes
// the body; a body closed before its end closes the connection, as does the end of
// the context. An error is a *fireflysaddle.NotSentError when the target cannot
// have received the whole request, else a *fireflysaddle.TargetError.
func (c *Client) Do(ctx context.Context, now time.Time, r Request) (*http.Response, error) {
	cn, err := c.connect(ctx, now, r)
	if err != nil {
		return nil, &fireflysaddle.NotSentError{Address: r.Address, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	written, err := send(cn, r)
	if err != nil {
		stop()
		_ = cn.Close()
		return nil, &fireflysaddle.NotSentError{Address: r.Address, Err: err}
	}
	resp, err := receive(cn, r)
	if err != nil {
		stop()
		_ = cn.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &fireflysaddle.TargetError{Target: fireflysaddle.TargetID(r.Address), Err: err}
	}
	cn.noteKeepAlive(resp.Header)
	resp.Body = &body{in: resp.Body, client: c, conn: cn, address: r.Address, stop: stop, written: written, last: resp.Close}
	return resp, nil
}

// connect returns an idle connection that is still good, or a new one.
func (c *Client) connect(ctx context.Context, now time.Time, r Request) (*conn, error) {
	for {
		cn := c.take(r.Address)
		if cn == nil {
			break
		}
		limit := cn.idle
		if r.Fresh {
			limit = min(limit, freshIdle)
		}
		if now.Sub(cn.since) < limit && cn.quiet() {
			return cn, nil
		}
		_ = cn.Close()
	}
	countDials.Add(1)
	raw, err := c.dialer.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// send writes a request. A large body goes on being written while the answer is
// read, because a target may answer before it has taken in all; written then
// yields how that ended.
func send(cn *conn, r Request) (written <-chan error, err error) {
	r.HTTP.ContentLength = int64(len(r.Body))
	r.HTTP.Body = http.NoBody
	if len(r.Body) > 0 {
		r.HTTP.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	done := make(chan error, 1)
	if len(r.Body) > wholeBody {
		go func() { done <- r.HTTP.Write(cn) }()
		return done, nil
	}
	var out bytes.Buffer
	if err := r.HTTP.Write(&out); err != nil {
		return nil, err
	}
	if _, err := cn.Write(out.Bytes()); err != nil {
		return nil, err
	}
	done <- nil
	return done, nil
}

// receive reads the head of the answer that belongs to a request.
func receive(cn *conn, r Request) (*http.Response, error) {
	first := !cn.used
	cn.used = true
	for stray := 0; ; {
		resp, err := http.ReadResponse(cn.in, r.HTTP)
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK:
			continue
		case r.MatchAnswer == nil || r.MatchAnswer(resp.Header, first && stray == 0):
			return resp, nil
		}
		countStray.Add(1)
		if stray++; stray > maxStray {
			return nil, errors.New("the answers on this connection belong to other requests")
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
}

func (c *Client) take(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return cn
}

// keep takes back a connection whose answer has ended.
func (c *Client) keep(now time.Time, address string, cn *conn) {
	cn.since = now
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) > 0 && now.Sub(list[0].since) > list[0].idle {
		_ = list[0].Close()
		list = list[1:]
	}
	if len(list) >= maxIdle {
		_ = cn.Close()
		return
	}
	c.idle[address] = append(list, cn)
}

// Forget closes the idle connections to an address.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle[address] {
		_ = cn.Close()
	}
	delete(c.idle, address)
}

func (c *Client) close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		for _, cn := range list {
			_ = cn.Close()
		}
		delete(c.idle, address)
	}
	return nil
}
