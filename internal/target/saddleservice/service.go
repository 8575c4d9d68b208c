package saddleservice

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlehttpclient"
)

const (
	// MaxAnswerBytes is the largest answer body that is forwarded; a larger one is an
	// error.
	MaxAnswerBytes = 16 << 20
	// RequestHeader carries the request ID to the service.
	RequestHeader = "X-Request-Id"
)

// Service implements fireflysaddle.Service over HTTP.
type Service struct {
	target  fireflysaddle.TargetID
	address string
	client  *saddlehttpclient.Client
}

// New returns an adapter to the service at an address, and a function that
// closes its connections. Connections are not reused: if the service closed
// an idle connection while a request was being sent on it, the adapter could not
// tell whether the request was run.
func New(target fireflysaddle.TargetID, address string) (*Service, func()) {
	client, cleanup := saddlehttpclient.New()
	return &Service{target: target, address: address, client: client}, func() { _ = cleanup() }
}

// Call sends a request once. Redirects are not followed.
func (s *Service) Call(ctx context.Context, c fireflysaddle.Call) (fireflysaddle.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+s.address+c.Path, nil)
	if err != nil {
		return fireflysaddle.Answer{}, &fireflysaddle.NotSentError{Address: s.address, Err: err}
	}
	req.Close = true
	req.Header.Set(RequestHeader, string(c.Request))
	if c.ContentType != "" {
		req.Header.Set("Content-Type", c.ContentType)
	}
	resp, err := s.client.Do(ctx, time.Now(), saddlehttpclient.Request{Address: s.address, HTTP: req, Body: c.Body, NewConn: true})
	var notSent *fireflysaddle.NotSentError
	if errors.As(err, &notSent) {
		return fireflysaddle.Answer{}, err
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
