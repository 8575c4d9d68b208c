package saddleservice

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	// MaxAnswerBytes is the largest answer body that is forwarded; a larger one is an
	// error.
	MaxAnswerBytes = 16 << 20
	maxHeaderBytes = 64 << 10
	// RequestHeader carries the request ID to the service.
	RequestHeader = "X-Request-Id"
)

// Service implements fireflysaddle.Service over HTTP.
type Service struct {
	target  fireflysaddle.TargetID
	address string
	client  *http.Client
}

// New returns an adapter to the service at an address, and a function that
// closes its idle connections. Connections are not reused: if the service closed
// an idle connection while a request was being sent on it, the adapter could not
// tell whether the request was run.
func New(target fireflysaddle.TargetID, address string) (*Service, func()) {
	transport := &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Service{target: target, address: address, client: client}, transport.CloseIdleConnections
}

// Call sends a request once. The body cannot be rewound, so the HTTP client
// never retries the request by itself.
func (s *Service) Call(ctx context.Context, c fireflysaddle.Call) (fireflysaddle.Answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+s.address+c.Path, io.NopCloser(bytes.NewReader(c.Body)))
	if err != nil {
		return fireflysaddle.Answer{}, &fireflysaddle.NotSentError{Address: s.address, Err: err}
	}
	req.ContentLength = int64(len(c.Body))
	if len(c.Body) == 0 {
		// Without a body net/http may retry a request that failed on a reused connection,
		// if the method is idempotent or an Idempotency-Key is set. It does not retry
		// here, because no connection is reused and no Idempotency-Key is set.
		req.Body = nil
	}
	req.Header.Set(RequestHeader, string(c.Request))
	if c.ContentType != "" {
		req.Header.Set("Content-Type", c.ContentType)
	}
	resp, err := s.client.Do(req)
	if err != nil && !connected.Load() {
		return fireflysaddle.Answer{}, &fireflysaddle.NotSentError{Address: s.address, Err: err}
	}
	if err != nil {
		return fireflysaddle.Answer{}, s.targetError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return fireflysaddle.Answer{}, s.targetError(err)
	}
	if len(body) > MaxAnswerBytes {
		return fireflysaddle.Answer{}, s.targetError(&AnswerTooLargeError{Limit: MaxAnswerBytes})
	}
	return fireflysaddle.Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// Alive returns nil if the service accepts a TCP connection within 1 s.
func (s *Service) Alive(ctx context.Context) error {
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(ctx, "tcp", s.address)
	if err != nil {
		return s.targetError(err)
	}
	return conn.Close()
}

func (s *Service) targetError(err error) error {
	return &fireflysaddle.TargetError{Target: s.target, Err: err}
}
