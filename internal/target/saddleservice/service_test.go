package saddleservice_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleservice"
)

// TestCall checks the contract of fireflysaddle.Service, including its errors.
func TestCall(t *testing.T) {
	largestBody := bytes.Repeat([]byte("x"), saddleservice.MaxAnswerBytes)
	for name, c := range map[string]struct {
		handler      http.HandlerFunc
		serverClosed bool
		notSent      bool
		targetError  bool
		tooLarge     bool
		status       int
		body         []byte
		requests     int32
	}{
		"answered": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusCreated)
				_, _ = io.WriteString(w, "receipt")
			},
			status: http.StatusCreated, body: []byte("receipt"), requests: 1,
		},
		"answered at the limit": {
			handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(largestBody) },
			status:  http.StatusOK, body: largestBody, requests: 1,
		},
		"answered above the limit": {
			handler:     func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(append(largestBody, 'x')) },
			targetError: true, tooLarge: true, requests: 1,
		},
		"redirected": {
			handler: func(w http.ResponseWriter, r *http.Request) {
				http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
			},
			status: http.StatusTemporaryRedirect, requests: 1,
		},
		"connection closed before the answer": {
			handler:     func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			targetError: true, requests: 1,
		},
		"connection closed within the answer": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				_, _ = io.WriteString(w, "half")
				panic(http.ErrAbortHandler)
			},
			targetError: true, requests: 1,
		},
		"connection refused": {serverClosed: true, notSent: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var requests atomic.Int32
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				is.Equal(r.Header.Get(saddleservice.RequestHeader), "r-1")
				c.handler(w, r)
			}))
			defer srv.Close()
			if c.serverClosed {
				srv.Close()
			}
			s, cleanup := saddleservice.New("desk-1", strings.TrimPrefix(srv.URL, "http://"))
			defer cleanup()
			answer, err := s.Call(context.Background(), fireflysaddle.Call{Request: "r-1", Method: http.MethodPost, Path: "/cases", Body: []byte("case")})
			var notSent *fireflysaddle.NotSentError
			var targetErr *fireflysaddle.TargetError
			var tooLarge *saddleservice.AnswerTooLargeError
			is.Equal(errors.As(err, &notSent), c.notSent)
			is.Equal(errors.As(err, &targetErr), c.targetError)
			is.Equal(errors.As(err, &tooLarge), c.tooLarge)
			is.Equal(requests.Load(), c.requests) // requests are never retried
			if err == nil {
				is.Equal(answer.Status, c.status)
				is.True(c.body == nil || bytes.Equal(answer.Body, c.body)) // the answer is complete
			}
		})
	}
}
