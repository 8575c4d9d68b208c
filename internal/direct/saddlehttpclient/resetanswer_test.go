package saddlehttpclient_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Pattern: a target answers before it has read a large body, and its connection ends while the
// rest of that body is being written. The system reports a reset to the writer or to the reader,
// not to both. Guards against an answer without a length that is reset being taken as whole, and
// against one that is closed in an orderly way being taken as reset.
func TestAnswerThatEndsWhileBodyIsWritten(t *testing.T) {
	const (
		tries   = 3
		arrival = 5 * time.Millisecond // time in which packets arrive on loopback, and the writer waits for room
	)
	large := bytes.Repeat([]byte("x"), 16<<20) // more than the socket buffers hold
	resetConn := func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	for name, c := range map[string]struct {
		end   func(conn *net.TCPConn)
		whole bool
	}{
		"reset":                   {resetConn, false},
		"closed in one direction": {func(conn *net.TCPConn) { _ = conn.CloseWrite() }, true},
		"closed and then reset": {func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(arrival)
			resetConn(conn)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range tries {
				lis, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				read, ended := make(chan struct{}), make(chan struct{})
				go func() {
					conn, err := lis.Accept()
					if err != nil {
						return
					}
					_, _ = conn.Read(make([]byte, 1))
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: one\r\n\r\nhalf")
					<-read
					c.end(conn.(*net.TCPConn))
					close(ended)
				}()
				r := request(lis.Addr().String(), "one")
				r.Body = large
				resp, err := newClient(t).Do(t.Context(), time.Now(), r)
				is.NoErr(err)
				_, err = io.ReadFull(resp.Body, make([]byte, len("half")))
				is.NoErr(err)
				time.Sleep(arrival)
				close(read)
				<-ended
				time.Sleep(arrival)
				for range 2 { // the error stays
					_, err = io.ReadAll(resp.Body)
					is.Equal(err == nil, c.whole)
					is.Equal(errors.Is(err, syscall.ECONNRESET), !c.whole)
				}
				is.NoErr(resp.Body.Close())
				is.NoErr(lis.Close())
			}
		})
	}
}
