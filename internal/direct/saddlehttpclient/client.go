package saddlehttpclient

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlebudget"
)

const (
	// dialTimeout bounds the opening of a connection, which takes less than 1 ms within
	// a data centre. A lost SYN packet is retransmitted only after 1 s, by which time
	// another target can have answered.
	dialTimeout = 400 * time.Millisecond
	// maxFreshIdle is the maximum idle time of a connection for a request with FreshConn,
	// so that the target's idle timeout does not close the connection while the request
	// is sent.
	maxFreshIdle = 300 * time.Millisecond
	// defaultIdleConns bounds the idle connections to a target that does not state how many
	// it accepts.
	defaultIdleConns = 6
	// maxStrayAnswers bounds the late answers to earlier requests that are discarded on
	// one connection.
	maxStrayAnswers = 2
	// maxHeaderBytes bounds the bytes that are read until the header of an answer is
	// complete, including informational answers and late answers to earlier requests. Headers
	// have less than 2 KiB.
	maxHeaderBytes = 64 << 10
	// maxBufferedBody is the size up to which a body is written before the answer is
	// read. Such a body fits into the socket buffers.
	maxBufferedBody = 16 << 10
)

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	dialer net.Dialer
	budget *saddlebudget.Budget

	mu        sync.Mutex
	idleConns map[string][]*conn // idle connections by the target's address
}

// New returns a client with a budget of its own and a clean-up function that closes the idle
// connections.
func New() (*Client, func() error) {
	return NewWithin(saddlebudget.New(saddlebudget.DefaultMemory))
}

// NewWithin is New for a client whose headers count towards a budget that others share.
func NewWithin(budget *saddlebudget.Budget) (*Client, func() error) {
	c := &Client{dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1}, budget: budget, idleConns: map[string][]*conn{}}
	return c, c.close
}

// Request is a request to one target.
type Request struct {
	Address   string
	HTTP      *http.Request // Body must not be set
	Body      []byte
	FreshConn bool // reuse only a connection that was idle for less than maxFreshIdle
	NewConn   bool // open a new connection
	IdleConns int  // bound of the idle connections to the target, 0: not known
	// MatchAnswer reports whether an answer with this header belongs to the request; first
	// is set for the first answer on its connection. Late answers to earlier requests
	// are discarded.
	MatchAnswer func(h http.Header, first bool) bool
}

// Do sends a request once and returns its answer as soon as the header has been read.
// The caller must close the body. If the body is closed before its end or the context
// ends, the connection is closed. An error is a *fireflysaddle.NotSentError if the target
// cannot have received the complete request, otherwise a *fireflysaddle.TargetError.
func (c *Client) Do(ctx context.Context, now time.Time, r Request) (*http.Response, error) {
	cn, err := c.connect(ctx, now, r)
	if err != nil {
		return nil, &fireflysaddle.NotSentError{Address: r.Address, Err: err}
	}
	if r.IdleConns > 0 {
		cn.idleConns = r.IdleConns
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	written, err := send(cn, r)
	if err != nil {
		stop()
		_ = cn.Close()
		return nil, &fireflysaddle.NotSentError{Address: r.Address, Err: err}
	}
	share, release := c.budget.Open(r.Address)
	resp, err := receive(cn, r, share)
	if err != nil {
		release()
		stop()
		_ = cn.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &fireflysaddle.TargetError{Target: fireflysaddle.TargetID(r.Address), Err: err}
	}
	cn.updateIdleTimeout(resp.Header)
	resp.Body = &body{
		reader: resp.Body, client: c, conn: cn, address: r.Address, stopCancel: stop, release: release, written: written,
		closeAfter: resp.Close || r.HTTP.Close, endsByConn: resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
		unread: resp.ContentLength,
	}
	return resp, nil
}

// connect returns a usable idle connection, or opens a new one.
func (c *Client) connect(ctx context.Context, now time.Time, r Request) (*conn, error) {
	reason := dialRepeat
	if !r.NewConn {
		var cn *conn
		if cn, reason = c.reuse(now, r); cn != nil {
			return cn, nil
		}
	}
	countDial(reason)
	raw, err := c.dialer.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// reuse returns a usable idle connection, or nil and the reason why there is none. It closes
// the idle connections that it passes over.
func (c *Client) reuse(now time.Time, r Request) (*conn, dialReason) {
	reason := dialNoneIdle
	for {
		cn := c.takeIdle(r.Address)
		if cn == nil {
			return nil, reason
		}
		idle := now.Sub(cn.idleSince)
		switch {
		case idle >= cn.idleTimeout:
			reason = dialExpired
		case r.FreshConn && idle >= maxFreshIdle:
			reason = dialNotFresh
		case !cn.usable():
			reason = dialClosed
		default:
			return cn, ""
		}
		_ = cn.Close()
	}
}

// Dial opens a connection to a target and closes it. An error is a
// *fireflysaddle.NotSentError.
func (c *Client) Dial(ctx context.Context, address string) error {
	countDial(dialCheck)
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return &fireflysaddle.NotSentError{Address: address, Err: err}
	}
	_ = raw.Close()
	return nil
}

// send writes a request. If the body is larger than maxBufferedBody, the request is written
// in the background while the caller reads the answer, because a target may answer before
// it has read the whole body. The channel written yields the write's error, nil on success.
func send(cn *conn, r Request) (written <-chan error, err error) {
	r.HTTP.ContentLength = int64(len(r.Body))
	r.HTTP.Body = http.NoBody
	if len(r.Body) > 0 {
		r.HTTP.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	done := make(chan error, 1)
	if len(r.Body) > maxBufferedBody {
		go func() {
			out := &errorKeeper{writer: cn}
			err := r.HTTP.Write(out)
			done <- cmp.Or(out.err, err)
		}()
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

// receive reads the header of the answer that belongs to the request. It discards answers
// to other requests, up to maxStrayAnswers of them. It reads no more than maxHeaderBytes, and no
// more than the share may hold.
func receive(cn *conn, r Request, share *saddlebudget.Share) (*http.Response, error) {
	firstAnswer := !cn.used
	cn.used = true
	cn.bounds.bound(maxHeaderBytes, share)
	defer cn.bounds.unbound()
	for strayAnswers := 0; ; {
		resp, err := cn.readAnswer(r.HTTP)
		switch {
		case cn.bounds.refused != nil:
			return nil, cn.bounds.refused
		case err != nil && cn.bounds.remaining <= 0: // the error may be about a line that was cut off
			return nil, &HeaderTooLongError{Limit: maxHeaderBytes}
		case err != nil:
			return nil, err
		case resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK:
			continue
		case r.MatchAnswer == nil || r.MatchAnswer(resp.Header, firstAnswer && strayAnswers == 0):
			return resp, cn.bounds.charge(len(cn.bounds.kept) - cn.reader.Buffered())
		}
		countStrayAnswers.Add(1)
		if strayAnswers++; strayAnswers > maxStrayAnswers {
			return nil, errors.New("received too many answers to other requests on this connection")
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
}

func (c *Client) takeIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idleConns[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idleConns[address] = list[:len(list)-1]
	return cn
}

// putIdle stores a connection for reuse after its answer has ended, or closes it if the
// target has as many idle connections as it may have. It closes the oldest idle connection
// if the idle timeout of that connection has expired.
func (c *Client) putIdle(now time.Time, address string, cn *conn) {
	cn.idleSince = now
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idleConns[address]
	if len(list) > 0 && now.Sub(list[0].idleSince) > list[0].idleTimeout {
		_ = list[0].Close()
		list = list[1:]
	}
	if len(list) >= cn.idleConns {
		_ = cn.Close()
		return
	}
	c.idleConns[address] = append(list, cn)
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idleConns[address] {
		_ = cn.Close()
	}
	delete(c.idleConns, address)
}

func (c *Client) close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idleConns {
		for _, cn := range list {
			_ = cn.Close()
		}
		delete(c.idleConns, address)
	}
	return nil
}
