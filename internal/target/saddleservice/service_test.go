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

// Contract of fireflysaddle.Service, with its fault cases.
func TestCall(t *testing.T) {
	whole := bytes.Repeat([]byte("x"), saddleservice.MaxAnswerBytes)
	for name, c := range map[string]struct {
		handle   http.HandlerFunc
		down     bool
		notSent  bool
		fault    bool
		tooLarge bool
		status   int
		body     []byte
		ran      int32
	}{
		"answered": {
			handle: func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusCreated)
				_, _ = io.WriteString(w, "receipt")
			},
			status: http.StatusCreated, body: []byte("receipt"), ran: 1,
		},
		"answered at the limit": {
			handle: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(whole) },
			status: http.StatusOK, body: whole, ran: 1,
		},
		"answered past the limit": {
			handle: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(append(whole, 'x')) },
			fault:  true, tooLarge: true, ran: 1,
		},
		"redirected": {
			handle: func(w http.ResponseWriter, r *http.Request) {
				http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
			},
			status: http.StatusTemporaryRedirect, ran: 1,
		},
		"broken off before the answer": {
			handle: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			fault:  true, ran: 1,
		},
		"broken off within the answer": {
			handle: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				_, _ = io.WriteString(w, "half")
				panic(http.ErrAbortHandler)
			},
			fault: true, ran: 1,
		},
		"not reached": {down: true, notSent: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var ran atomic.Int32
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				ran.Add(1)
				is.Equal(r.Header.Get(saddleservice.RequestHeader), "r-1")
				c.handle(w, r)
			}))
			defer srv.Close()
			if c.down {
				srv.Close()
			}
			s, cleanup := saddleservice.New("desk-1", strings.TrimPrefix(srv.URL, "http://"))
			defer cleanup()
			answer, err := s.Call(context.Background(), fireflysaddle.Call{Request: "r-1", Method: http.MethodPost, Path: "/cases", Body: []byte("case")})
			var notSent *fireflysaddle.NotSentError
			var fault *fireflysaddle.TargetError
			var tooLarge *saddleservice.AnswerTooLargeError
			is.Equal(errors.As(err, &notSent), c.notSent)
			is.Equal(errors.As(err, &fault), c.fault)
			is.Equal(errors.As(err, &tooLarge), c.tooLarge)
			is.Equal(ran.Load(), c.ran) // never sent twice
			if err == nil {
				is.Equal(answer.Status, c.status)
				is.True(c.body == nil || bytes.Equal(answer.Body, c.body)) // the whole answer
			}
		})
	}
}
