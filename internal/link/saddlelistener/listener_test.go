package saddlelistener_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelistener"
)

const (
	awaitTimeout = 10 * time.Second
	request      = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
)

// pipeListener accepts connections that have no socket.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) }) // net/http closes it too
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// Guards against requests being cut, and unused connections holding up the shutdown, on
// connections that have no socket.
func TestDrainClosesBetweenRequestsOnlyWithoutSockets(t *testing.T) {
	is := is.New(t)
	received, finish := make(chan struct{}), make(chan struct{})
	raw := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	lis := saddlelistener.New(raw)
	slow := false
	srv := &http.Server{ConnState: lis.Observe, ReadHeaderTimeout: awaitTimeout, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if slow {
			close(received)
			<-finish
		}
	})}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(lis) }()
	connect := func() (net.Conn, *bufio.Reader) {
		near, far := net.Pipe()
		raw.conns <- far
		is.NoErr(near.SetDeadline(time.Now().Add(awaitTimeout)))
		return near, bufio.NewReader(near)
	}
	exchange := func(conn net.Conn, answers *bufio.Reader) {
		_, err := io.WriteString(conn, request)
		is.NoErr(err)
		resp, err := http.ReadResponse(answers, nil)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	idle, idleAnswers := connect()
	exchange(idle, idleAnswers)
	slow = true
	busy, busyAnswers := connect()
	_, err := io.WriteString(busy, request)
	is.NoErr(err)
	<-received

	is.NoErr(raw.Close())
	is.True(errors.Is(<-served, net.ErrClosed))
	ctx, cancel := context.WithTimeout(t.Context(), awaitTimeout)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- lis.Drain(ctx) }()
	_, err = idleAnswers.ReadByte()
	is.True(errors.Is(err, io.EOF))
	close(finish)
	resp, err := http.ReadResponse(busyAnswers, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.NoErr(resp.Body.Close())
	is.NoErr(<-drained)
}
