package saddlehttpclient_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlehttpclient"
)

const requestID = "X-Id"

// fakeTarget is a scripted target: each step answers one request.
type fakeTarget struct {
	lis net.Listener

	mu     sync.Mutex
	steps  []func(c net.Conn, r *http.Request)
	ids    []string
	bodies []string
	conns  int
}

func newTarget(t *testing.T, steps ...func(net.Conn, *http.Request)) *fakeTarget {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeTarget{lis: lis, steps: steps}
	t.Cleanup(func() { _ = lis.Close() })
	go s.accept()
	return s
}

func (s *fakeTarget) accept() {
	for {
		c, err := s.lis.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *fakeTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.ids = append(s.ids, r.Header.Get(requestID))
		s.bodies = append(s.bodies, string(body))
		if len(s.steps) == 0 {
			s.mu.Unlock()
			return
		}
		step := s.steps[0]
		s.steps = s.steps[1:]
		s.mu.Unlock()
		step(c, r)
	}
}

func (s *fakeTarget) received() (ids []string, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.ids...), s.conns
}

// respond returns a step that writes text, in which it replaces ID by the identifier of the
// request.
func respond(text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get(requestID)))
	}
}

// answer returns an answer with the given body, which must be shorter than ten bytes.
func answer(body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func closeConn(c net.Conn, _ *http.Request) { _ = c.Close() }

func send(t *testing.T, c *saddlehttpclient.Client, address, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, time.Now(), request(address, id))
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func request(address, id string) saddlehttpclient.Request {
	return saddlehttpclient.Request{
		Address: address,
		HTTP:    &http.Request{Method: http.MethodPost, URL: &url.URL{Opaque: "/a/b"}, Host: "h", Header: http.Header{requestID: {id}}},
		Body:    []byte("body of " + id),
		MatchAnswer: func(h http.Header, first bool) bool {
			return h.Get(requestID) == id || (first && h.Get(requestID) == "")
		},
	}
}

func newClient(t *testing.T) *saddlehttpclient.Client {
	t.Helper()
	c, cleanup := saddlehttpclient.New()
	t.Cleanup(func() { _ = cleanup() })
	return c
}

// Whatever the target does, a request is sent exactly once, and the error reports whether it
// may have arrived.
func TestRequestIsSentOnce(t *testing.T) {
	for name, c := range map[string]struct {
		steps []func(net.Conn, *http.Request)
		body  string
		fails bool
	}{
		"answer with Content-Length": {[]func(net.Conn, *http.Request){respond(answer("ok"))}, "ok", false},
		"chunked answer":             {[]func(net.Conn, *http.Request){respond("HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")}, "ok", false},
		"answer ended by close": {[]func(net.Conn, *http.Request){func(c net.Conn, r *http.Request) {
			respond("HTTP/1.1 200 OK\r\nX-Id: ID\r\n\r\nok")(c, r)
			closeConn(c, r)
		}}, "ok", false},
		"100 Continue before the answer": {[]func(net.Conn, *http.Request){respond("HTTP/1.1 100 Continue\r\n\r\n" + answer("ok"))}, "ok", false},
		"closed without an answer":       {[]func(net.Conn, *http.Request){closeConn}, "", true},
		"invalid answer":                 {[]func(net.Conn, *http.Request){respond("0123456789\r\n\r\n")}, "", true},
		"truncated answer": {[]func(net.Conn, *http.Request){func(c net.Conn, r *http.Request) {
			respond("HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 9\r\n\r\nok")(c, r)
			closeConn(c, r)
		}}, "", true},
		"truncated chunked answer": {[]func(net.Conn, *http.Request){func(c net.Conn, r *http.Request) {
			respond("HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")(c, r)
			closeConn(c, r)
		}}, "", true},
		"answer with another identifier": {[]func(net.Conn, *http.Request){func(c net.Conn, r *http.Request) {
			respond("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno")(c, r)
			closeConn(c, r)
		}}, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newTarget(t, c.steps...)
			body, err := send(t, newClient(t), s.lis.Addr().String(), "one")
			is.Equal(err != nil, c.fails)
			if !c.fails {
				is.Equal(body, c.body)
			}
			ids, _ := s.received()
			is.Equal(ids, []string{"one"})
		})
	}
}

func TestConnectionIsReusedOnlyAfterCompleteAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		first func(net.Conn, *http.Request)
		conns int
	}{
		"complete answer":               {respond(answer("ok")), 1},
		"answer with Connection: close": {respond("HTTP/1.1 200 OK\r\nX-Id: ID\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"), 2},
		"not read to its end":           {respond("HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nok"), 1},
		"followed by another answer":    {respond(answer("ok") + "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno"), 2},
		"followed by invalid bytes":     {respond(answer("ok") + "garbage"), 2},
		"idle timeout expired":          {respond("HTTP/1.1 200 OK\r\nX-Id: ID\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok"), 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newTarget(t, c.first, respond(answer("ok")))
			client := newClient(t)
			for _, id := range []string{"one", "two"} {
				if name == "not read to its end" {
					resp, err := client.Do(t.Context(), time.Now(), request(s.lis.Addr().String(), id))
					is.NoErr(err)
					is.NoErr(resp.Body.Close())
					continue
				}
				body, err := send(t, client, s.lis.Addr().String(), id)
				is.NoErr(err)
				is.Equal(body, "ok")
			}
			ids, conns := s.received()
			is.Equal(ids, []string{"one", "two"})
			is.Equal(conns, c.conns)
		})
	}
}

// A late answer to an earlier request is discarded if it arrives during the next request.
func TestLateAnswerIsDiscarded(t *testing.T) {
	is := is.New(t)
	late := "HTTP/1.1 200 OK\r\nX-Id: one\r\nContent-Length: 4\r\n\r\nlate"
	s := newTarget(t, respond(answer("ok")), respond(late+answer("two!")))
	client := newClient(t)
	_, err := send(t, client, s.lis.Addr().String(), "one")
	is.NoErr(err)
	body, err := send(t, client, s.lis.Addr().String(), "two")
	is.NoErr(err)
	is.Equal(body, "two!")
}

func TestUnreachableTargetGivesNotSentError(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := lis.Addr().String()
	is.NoErr(lis.Close())
	_, err = send(t, newClient(t), address, "one")
	var notSent *fireflysaddle.NotSentError
	is.True(errors.As(err, &notSent))
}

func TestMissingAnswerGivesTargetError(t *testing.T) {
	is := is.New(t)
	s := newTarget(t, closeConn)
	_, err := send(t, newClient(t), s.lis.Addr().String(), "one")
	var failed *fireflysaddle.TargetError
	is.True(errors.As(err, &failed))
}

// When the context ends, the connection to the target is closed immediately.
func TestContextCancellationClosesConnection(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	s := newTarget(t, func(c net.Conn, _ *http.Request) {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	resp, err := newClient(t).Do(ctx, time.Now(), request(s.lis.Addr().String(), "one"))
	if err == nil {
		_ = resp.Body.Close()
	}
	is.True(errors.Is(err, context.Canceled))
	is.True(<-ended != nil)
}

// A target may answer before it has read all of a large body and continue to read. The
// connection must not carry anything else until the body has been written.
func TestConnectionIsNotReusedBeforeBodyIsWritten(t *testing.T) {
	is := is.New(t)
	const size = 8 << 20
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = lis.Close() }()
	got := make(chan string, 1)
	go func() {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReader(c)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nX-Id: one\r\nContent-Length: 2\r\n\r\nno")
		time.Sleep(20 * time.Millisecond)
		body, _ := io.ReadAll(r.Body)
		rest, _ := io.ReadAll(in)
		got <- string(body[:min(len(body), 4)]) + "|" + string(rest)
	}()
	client := newClient(t)
	r := request(lis.Addr().String(), "one")
	r.Body = []byte(strings.Repeat("x", size))
	resp, err := client.Do(context.Background(), time.Now(), r)
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close()) // the body is not completely written, so the connection is closed
	select {
	case all := <-got:
		is.True(strings.HasSuffix(all, "|"))
	case <-time.After(20 * time.Second):
		t.Fatal("the connection was not closed")
	}
}

// Bytes that arrive on an idle connection belong to no request; the next request uses
// another connection.
func TestUnsolicitedBytesCloseIdleConnection(t *testing.T) {
	is := is.New(t)
	read, sent := make(chan struct{}), make(chan struct{})
	s := newTarget(t, func(c net.Conn, r *http.Request) {
		respond(answer("ok"))(c, r)
		go func() {
			<-read
			_, _ = io.WriteString(c, "garbage\r\n\r\n")
			close(sent)
		}()
	}, respond(answer("ok")))
	client := newClient(t)
	_, err := send(t, client, s.lis.Addr().String(), "one")
	is.NoErr(err)
	close(read)
	<-sent
	time.Sleep(20 * time.Millisecond) // the bytes arrive within this time on loopback
	_, err = send(t, client, s.lis.Addr().String(), "two")
	is.NoErr(err)
	_, conns := s.received()
	is.Equal(conns, 2)
}

// What arrives before the header of an answer is complete is bounded, whether it is a header
// or answers that are discarded.
func TestHeaderIsBounded(t *testing.T) {
	for name, c := range map[string]struct{ start, filler string }{
		"header":                {"HTTP/1.1 200 OK\r\nX-Id: ID\r\n", "X-Filler: x\r\n"},
		"informational answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"late answer":           {"HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newTarget(t, respond(c.start+strings.Repeat(c.filler, 512<<10/len(c.filler))))
			_, err := send(t, newClient(t), s.lis.Addr().String(), "one")
			var tooLong *saddlehttpclient.HeaderTooLongError
			is.True(errors.As(err, &tooLong))
		})
	}
}
