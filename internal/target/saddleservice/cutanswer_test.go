package saddleservice_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleservice"
)

// startWriting starts a service that reads the header of each request, calls answer and closes
// the connection.
func startWriting(t *testing.T, answer func(conn *net.TCPConn)) (address string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return lis.Addr().String()
}

func call(t *testing.T, address string, body []byte) (fireflysaddle.Answer, error) {
	t.Helper()
	s, cleanup := saddleservice.New("desk-1", address)
	defer cleanup()
	return s.Call(t.Context(), fireflysaddle.Call{Request: "r-1", Method: http.MethodPost, Path: "/cases", Body: body})
}

// Guards against an answer that a service cuts off at any byte being taken as whole.
func TestAnswerCutAtAnyByteIsNoAnswer(t *testing.T) {
	const (
		early  = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
		chunks = "4\r\nhalf\r\n1;a=b\r\n.\r\n0\r\nX-Sum: 1\r\n\r\n"
	)
	for name, c := range map[string]struct {
		head, body, text string
		endsByConn       bool // the end of the connection is the end of the body
		invalid          bool // not an answer, even if it is sent completely
	}{
		"length":               {head: early + "HTTP/1.1 201 Created\r\nContent-Type: a/b\r\nContent-Length: 10\r\n\r\n", body: "half.half.", text: "half.half."},
		"chunks":               {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", body: chunks, text: "half."},
		"neither":              {head: early + "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n \t\r\n\r\n", body: "half", text: "half", endsByConn: true},
		"lines end with LF":    {head: "HTTP/1.0 200 OK\nContent-Type: a/b\n\n", body: "half", text: "half", endsByConn: true},
		"blank after length":   {head: "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\n", body: "half", invalid: true},
		"blank after chunks":   {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n", body: chunks, invalid: true},
		"chunks in HTTP/1.0":   {head: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", body: chunks, invalid: true},
		"and a length as well": {head: "HTTP/1.0 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", body: chunks, invalid: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			whole := c.head + c.body
			for cut := range len(whole) + 1 {
				address := startWriting(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, whole[:cut]) })
				answer, err := call(t, address, nil)
				if !c.invalid && (cut == len(whole) || (c.endsByConn && cut >= len(c.head))) {
					is.NoErr(err)
					is.Equal(string(answer.Body), c.text[:len(c.text)-len(whole)+cut])
					continue
				}
				var failed *fireflysaddle.TargetError
				if !errors.As(err, &failed) { // the request may have run
					t.Errorf("%q: %v, %+v", whole[:cut], err, answer)
				}
			}
		})
	}
}

// Guards against an answer without a length that is reset while a large body is being written
// being taken as whole.
func TestAnswerResetWhileBodyIsWrittenIsNoAnswer(t *testing.T) {
	const tries = 10
	for range tries {
		is := is.New(t)
		address := startWriting(t, func(conn *net.TCPConn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
			time.Sleep(5 * time.Millisecond) // the writer waits for room
			_ = conn.SetLinger(0)
		})
		answer, err := call(t, address, make([]byte, 16<<20))
		var failed *fireflysaddle.TargetError
		is.True(errors.As(err, &failed))
		is.Equal(string(answer.Body), "")
	}
}
