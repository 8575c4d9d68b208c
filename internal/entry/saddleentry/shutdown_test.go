package saddleentry_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleentry"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlecert"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
)

const (
	stopTimeout   = 10 * time.Second
	shortLameDuck = 300 * time.Millisecond
	settleTime    = 100 * time.Millisecond // until what was sent has been read
	wholeRequest  = "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nform"
)

// stoppableEntry is an entry without control replicas, which refuses all requests.
type stoppableEntry struct {
	network fireflysaddle.Network
	address string
	stop    chan struct{}
	ended   chan error
}

func startStoppableEntry(t *testing.T) *stoppableEntry {
	t.Helper()
	return startStoppableEntryOn(t, saddlelink.TCP{}, shortLameDuck)
}

func startStoppableEntryOn(t *testing.T, callers fireflysaddle.Network, lameDuck time.Duration) *stoppableEntry {
	t.Helper()
	is := is.New(t)
	address, err := saddlestandin.FreeAddress()
	is.NoErr(err)
	s, cleanup, err := saddleentry.New(saddleentry.Config{
		Node: "entry-1", Incarnation: 1, Centre: "a", Listen: address, HeartbeatInterval: time.Second, ControlSilenceTimeout: time.Second,
		CallSilenceTimeout: time.Second, BodyLimit: 1 << 10, MaxTimeout: time.Second, LameDuck: lameDuck, ShutdownTimeout: stopTimeout, Log: zerolog.Nop(),
		CallerNetwork: callers,
	})
	is.NoErr(err)
	e := &stoppableEntry{network: callers, address: address, stop: make(chan struct{}), ended: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { e.ended <- s.Run(ctx, e.stop) }()
	t.Cleanup(func() {
		cancel()
		_ = cleanup()
	})
	return e
}

func (e *stoppableEntry) connect(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	is := is.New(t)
	conn, err := e.network.Dial(t.Context(), e.address)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.NoErr(conn.SetDeadline(time.Now().Add(stopTimeout)))
	return conn, bufio.NewReader(conn)
}

// awaitRefusal reads an answer and reports whether it says that the connection is closed.
func awaitRefusal(t *testing.T, answers *bufio.Reader) (closes bool) {
	t.Helper()
	is := is.New(t)
	resp, err := http.ReadResponse(answers, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.True(resp.StatusCode >= http.StatusBadRequest)
	return resp.Close
}

// Guards against a request being dropped without an answer because a part of it was read before
// the entry closed its listener.
func TestRequestThatArrivesWhileTheEntryStopsIsAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		kept   bool
		before int // bytes that are sent before the stop
	}{
		"new connection, part of the header before":  {false, 30},
		"kept connection, part of the header before": {true, 30},
		"kept connection, part of the body before":   {true, len(wholeRequest) - 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := startStoppableEntry(t)
			conn, answers := e.connect(t)
			if c.kept {
				_, err := io.WriteString(conn, wholeRequest)
				is.NoErr(err)
				is.True(!awaitRefusal(t, answers))
			}
			_, err := io.WriteString(conn, wholeRequest[:c.before])
			is.NoErr(err)
			time.Sleep(settleTime)
			close(e.stop)
			time.Sleep(shortLameDuck + settleTime)
			_, err = io.WriteString(conn, wholeRequest[c.before:])
			is.NoErr(err)
			awaitRefusal(t, answers)
			is.NoErr(<-e.ended)
		})
	}
}

// Guards against an answer during the lame-duck time that leaves its caller to send another
// request on a connection that is about to be closed.
func TestAnswerDuringTheLameDuckTimeClosesItsConnection(t *testing.T) {
	is := is.New(t)
	e := startStoppableEntry(t)
	conn, answers := e.connect(t)
	_, err := io.WriteString(conn, wholeRequest)
	is.NoErr(err)
	is.True(!awaitRefusal(t, answers))
	_, err = io.WriteString(conn, wholeRequest[:1])
	is.NoErr(err)
	time.Sleep(settleTime)
	close(e.stop)
	time.Sleep(settleTime)
	_, err = io.WriteString(conn, wholeRequest[1:])
	is.NoErr(err)
	is.True(awaitRefusal(t, answers))
	is.NoErr(<-e.ended)
}

// Guards against callers who go on sending on kept connections while the entry is stopping, over
// TLS too, and against new callers being turned away before the load balancer reacts.
func TestKeptConnectionsAreClosedBetweenRequestsOnceTheEntryIsStopping(t *testing.T) {
	for name, callers := range map[string]fireflysaddle.Network{"TCP": saddlelink.TCP{}, "TLS": tlsNetwork(t)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const lameDuck = 3 * time.Second
			e := startStoppableEntryOn(t, callers, lameDuck)
			conn, answers := e.connect(t)
			_, err := io.WriteString(conn, wholeRequest)
			is.NoErr(err)
			is.True(!awaitRefusal(t, answers))
			close(e.stop)
			stopped := time.Now()
			_, err = answers.ReadByte()
			is.True(errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET))
			is.True(time.Since(stopped) < lameDuck)
			conn, answers = e.connect(t)
			_, err = io.WriteString(conn, wholeRequest)
			is.NoErr(err)
			is.True(awaitRefusal(t, answers))
			is.NoErr(<-e.ended)
		})
	}
}

// Guards against a request being dropped without an answer over TLS, where net/http serves
// another connection than the one whose bytes are followed.
func TestRequestThatArrivesOverTLSWhileTheEntryStopsIsAnswered(t *testing.T) {
	for name, kept := range map[string]bool{"new connection": false, "kept connection": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := startStoppableEntryOn(t, tlsNetwork(t), shortLameDuck)
			conn, answers := e.connect(t)
			if kept {
				_, err := io.WriteString(conn, wholeRequest)
				is.NoErr(err)
				is.True(!awaitRefusal(t, answers))
			}
			_, err := io.WriteString(conn, wholeRequest[:30])
			is.NoErr(err)
			time.Sleep(settleTime)
			close(e.stop)
			time.Sleep(shortLameDuck + settleTime)
			_, err = io.WriteString(conn, wholeRequest[30:])
			is.NoErr(err)
			awaitRefusal(t, answers)
			is.NoErr(<-e.ended)
		})
	}
}

// Guards against a shutdown that waits until its timeout for callers who send no request.
func TestConnectionsWithoutARequestDoNotHoldUpTheShutdown(t *testing.T) {
	for name, callers := range map[string]fireflysaddle.Network{"TCP": saddlelink.TCP{}, "TLS": tlsNetwork(t)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := startStoppableEntryOn(t, callers, shortLameDuck)
			_, answers := e.connect(t)
			time.Sleep(settleTime)
			close(e.stop)
			_, err := answers.ReadByte()
			is.True(errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET))
			is.NoErr(<-e.ended)
		})
	}
}

func tlsNetwork(t *testing.T) *saddlelink.TLS {
	t.Helper()
	is := is.New(t)
	authority := saddlecert.New(t)
	cert, key := authority.Issue(t, "entry-1")
	n, err := saddlelink.NewTLS(cert, key, authority.CertFile)
	is.NoErr(err)
	return n
}
