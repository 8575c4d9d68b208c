package saddleentry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleentry"
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
	address string
	stop    chan struct{}
	ended   chan error
}

func startStoppableEntry(t *testing.T) *stoppableEntry {
	t.Helper()
	is := is.New(t)
	address, err := saddlestandin.FreeAddress()
	is.NoErr(err)
	s, cleanup, err := saddleentry.New(saddleentry.Config{
		Node: "entry-1", Incarnation: 1, Centre: "a", Listen: address, HeartbeatInterval: time.Second, ControlSilenceTimeout: time.Second,
		CallSilenceTimeout: time.Second, BodyLimit: 1 << 10, MaxTimeout: time.Second, LameDuck: shortLameDuck, ShutdownTimeout: stopTimeout, Log: zerolog.Nop(),
	})
	is.NoErr(err)
	e := &stoppableEntry{address: address, stop: make(chan struct{}), ended: make(chan error, 1)}
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
	conn, err := net.Dial("tcp", e.address)
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
	close(e.stop)
	time.Sleep(settleTime)
	_, err = io.WriteString(conn, wholeRequest)
	is.NoErr(err)
	is.True(awaitRefusal(t, answers))
	is.NoErr(<-e.ended)
}
