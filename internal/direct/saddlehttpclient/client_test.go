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

// target is a scripted target: each request that it reads is answered by the next
// step.
type target struct {
	lis net.Listener

	mu     sync.Mutex
	steps  []func(c net.Conn, r *http.Request)
	ids    []string
	bodies []string
	conns  int
}

func newTarget(t *testing.T, steps ...func(net.Conn, *http.Request)) *target {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &target{lis: lis, steps: steps}
	t.Cleanup(func() { _ = lis.Close() })
	go s.accept()
	return s
}

func (s *target) accept() {
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

func (s *target) serve(c net.Conn) {
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

func (s *target) seen() (ids []string, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.ids...), s.conns
}

func say(text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get(requestID)))
	}
}

func answer(body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func hangUp(c net.Conn, _ *http.Request) { _ = c.Close() }

func do(t *testing.T, c *saddlehttpclient.Client, address, id string) (string, error) {
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

// A target may do anything with a request; it is sent once, and whoever asked
// learns whether it may have arrived.
func TestARequestIsSentOnceWhateverTheTargetDoes(t *testing.T) {
	for name, c := range map[string]struct {
		steps []func(net.Conn, *http.Request)
		body  string
		fails bool
	}{
		"it answers":                    {[]func(net.Conn, *http.Request){say(answer("ok"))}, "ok", false},
		"it answers in chunks":          {[]func(net.Conn, *http.Request){say("HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")}, "ok", false},
		"it ends the answer by closing": {[]func(net.Conn, *http.Request){func(c net.Conn, r *http.Request) { say("HTTP/1.1 200 OK\r\nX-Id: ID\r\n\r\nok")(c, r); hangUp(c, r) }}, "ok", false},
		"it says to go on first":        {[]func(net.Conn, *http.Request){say("HTTP/1.1 100 Continue\r\n\r\n" + answer("ok"))}, "ok", false},
		"it closes without an answer":   {[]func(net.Conn, *http.Request){hangUp}, "", true},
		"it sends what is no answer":    {[]func(net.Conn, *http.Request){say("0123456789\r\n\r\n")}, "", true},
		"its answer breaks off": {[]func(net.Conn, *http.Request){func(c net.Conn, r *http.Request) {
			say("HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 9\r\n\r\nok")(c, r)
			hangUp(c, r)
		}}, "", true},
		"its chunks break off": {[]func(net.Conn, *http.Request){func(c net.Conn, r *http.Request) {
			say("HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")(c, r)
			hangUp(c, r)
		}}, "", true},
		"it answers under another identifier": {[]func(net.Conn, *http.Request){func(c net.Conn, r *http.Request) {
			say("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno")(c, r)
			hangUp(c, r)
		}}, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newTarget(t, c.steps...)
			body, err := do(t, newClient(t), s.lis.Addr().String(), "one")
			is.Equal(err != nil, c.fails)
			if !c.fails {
				is.Equal(body, c.body)
			}
			ids, _ := s.seen()
			is.Equal(ids, []string{"one"})
		})
	}
}

func TestAConnectionIsKeptOnlyAfterAWholeAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		first func(net.Conn, *http.Request)
		conns int
	}{
		"a whole answer":                   {say(answer("ok")), 1},
		"an answer that says it is closed": {say("HTTP/1.1 200 OK\r\nX-Id: ID\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"), 2},
		"another answer behind it":         {say(answer("ok") + "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nno"), 2},
		"bytes that are no answer":         {say(answer("ok") + "garbage"), 2},
		"an idle time that is over":        {say("HTTP/1.1 200 OK\r\nX-Id: ID\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok"), 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newTarget(t, c.first, say(answer("ok")))
			client := newClient(t)
			for _, id := range []string{"one", "two"} {
				body, err := do(t, client, s.lis.Addr().String(), id)
				is.NoErr(err)
				is.Equal(body, "ok")
			}
			ids, conns := s.seen()
			is.Equal(ids, []string{"one", "two"})
			is.Equal(conns, c.conns)
		})
	}
}

// An answer to an earlier request that comes when the next one is under way goes
// to nobody.
func TestALateAnswerIsPassedOver(t *testing.T) {
	is := is.New(t)
	late := "HTTP/1.1 200 OK\r\nX-Id: one\r\nContent-Length: 4\r\n\r\nlate"
	s := newTarget(t, say(answer("ok")), say(late+answer("two!")))
	client := newClient(t)
	_, err := do(t, client, s.lis.Addr().String(), "one")
	is.NoErr(err)
	body, err := do(t, client, s.lis.Addr().String(), "two")
	is.NoErr(err)
	is.Equal(body, "two!")
}

func TestATargetThatIsNotThereWasSentNothing(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := lis.Addr().String()
	is.NoErr(lis.Close())
	_, err = do(t, newClient(t), address, "one")
	var notSent *fireflysaddle.NotSentError
	is.True(errors.As(err, &notSent))
}

func TestAnAnswerThatNeverComesMayHaveRun(t *testing.T) {
	is := is.New(t)
	s := newTarget(t, hangUp)
	_, err := do(t, newClient(t), s.lis.Addr().String(), "one")
	var failed *fireflysaddle.TargetError
	is.True(errors.As(err, &failed))
}

// When the caller leaves, the target's connection ends at once.
func TestTheEndOfTheContextEndsTheConnection(t *testing.T) {
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

// A target may answer before it has read a large body, and read on; nothing but
// that body may follow on the connection.
func TestALargeBodyIsWrittenWholeBeforeTheConnectionIsKept(t *testing.T) {
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
	is.NoErr(resp.Body.Close()) // the body is not written yet: the connection is closed
	select {
	case all := <-got:
		is.True(strings.HasSuffix(all, "|"))
	case <-time.After(20 * time.Second):
		t.Fatal("the connection was kept open")
	}
}

// What arrives on an idle connection belongs to no request; the next one goes over
// another connection.
func TestBytesOnAnIdleConnectionHarmNobody(t *testing.T) {
	is := is.New(t)
	read, sent := make(chan struct{}), make(chan struct{})
	s := newTarget(t, func(c net.Conn, r *http.Request) {
		say(answer("ok"))(c, r)
		go func() {
			<-read
			_, _ = io.WriteString(c, "garbage\r\n\r\n")
			close(sent)
		}()
	}, say(answer("ok")))
	client := newClient(t)
	_, err := do(t, client, s.lis.Addr().String(), "one")
	is.NoErr(err)
	close(read)
	<-sent
	time.Sleep(20 * time.Millisecond) // on loopback it is there by then
	_, err = do(t, client, s.lis.Addr().String(), "two")
	is.NoErr(err)
	_, conns := s.seen()
	is.Equal(conns, 2)
}
