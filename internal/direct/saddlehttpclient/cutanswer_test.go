package saddlehttpclient_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlehttpclient"
)

// Headers by which a request tells a cutTarget how to answer, and how it ends its answer.
const (
	headerCut = "X-Cut" // number of bytes of the answer that are sent; absent: a complete answer, connection kept
	headerEnd = "X-End"

	endClosed = "closed"
	endReset  = "reset"
	endSilent = "silent"
)

// framing is how the end of a body is marked.
type framing int

const (
	framedByMark  framing = iota // a length or chunks
	framedByClose                // the end of the connection
	noBody                       // the header ends the answer
)

// cutCase is an answer that is sent up to each of its bytes.
type cutCase struct {
	before  string // answers before the one to the request: informational ones, and late ones
	head    string
	body    string // as sent
	text    string // as read
	method  string // of the request, empty: POST
	framing framing
	invalid bool // not an answer, even if it is sent completely
}

func (c cutCase) bytes() string { return c.before + c.head + c.body }

// check returns what is wrong with the outcome of a request whose answer was cut after a
// number of bytes.
func (c cutCase) check(cut int, end string, got outcome) error {
	inBody := cut - len(c.before) - len(c.head)
	header := inBody >= 0 && !c.invalid
	whole, text := header, c.text
	switch c.framing {
	case framedByMark:
		whole = whole && inBody == len(c.body)
	case framedByClose:
		whole = whole && end == endClosed
		text = c.body[:max(0, inBody)]
	}
	switch {
	case got.header && !header:
		return errors.New("an answer whose header is not complete is taken")
	case got.whole && !whole:
		return fmt.Errorf("%q is taken as the whole body", got.text)
	case whole && !got.whole && end == endClosed:
		return errors.New("a complete answer is an error")
	case got.whole && got.text != text, !strings.HasPrefix(text, got.text):
		return fmt.Errorf("the body is %q", got.text)
	}
	return nil
}

func cutCases() map[string]cutCase {
	const (
		ok     = "HTTP/1.1 200 OK\r\nX-Id: one\r\n"
		chunks = "3\r\nbod\r\n1;x=\"y\"\r\ny\r\n0\r\n"
	)
	folded := strings.Repeat(" \t folded\r\n \t \r\n", 2)
	out := map[string]cutCase{
		"length":                        {head: ok + "Content-Length: 12\r\n\r\n", body: "body of it.."},
		"length first":                  {head: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Id: one\r\nX-Last:\r\n\r\n", body: "body of it.."},
		"length 0":                      {head: ok + "Content-Length: 0\r\n\r\n"},
		"length in a folded line":       {head: ok + "Content-Length:\r\n \t12\r\n\r\n", body: "body of it.."},
		"length twice":                  {head: ok + "Content-Length: 4\r\nContent-Length: 4\r\n\r\n", body: "body"},
		"two lengths":                   {head: ok + "Content-Length: 4\r\nContent-Length: 40\r\n\r\n", body: "body", invalid: true},
		"lengths in a list":             {head: ok + "Content-Length: 4, 4\r\n\r\n", body: "body", invalid: true},
		"empty length":                  {head: ok + "Content-Length:\r\n\r\n", body: "body", invalid: true},
		"chunks":                        {head: ok + "Transfer-Encoding: chunked\r\n\r\n", body: chunks + "\r\n", text: "body"},
		"chunks with trailers":          {head: ok + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n", body: chunks + "X-Sum: 1\r\nX-More: 2\r\n\r\n", text: "body"},
		"length and chunks":             {head: ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", body: chunks + "\r\n", text: "body"},
		"other encoding":                {head: ok + "Transfer-Encoding: gzip, chunked\r\n\r\n", body: chunks + "\r\n", invalid: true},
		"chunks twice":                  {head: ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", body: chunks + "\r\n", invalid: true},
		"neither":                       {head: ok + "Content-Type: text/plain\r\n\r\n", body: "body\r\n\r\n", framing: framedByClose},
		"neither, no field":             {head: "HTTP/1.1 200 OK\r\n\r\n", body: "body", framing: framedByClose},
		"lines end with LF":             {head: "HTTP/1.1 200 OK\nX-Id: one\nContent-Length: 4\n\n", body: "body"},
		"lines end with LF, neither":    {head: "HTTP/1.1 200 OK\nX-Id: one\nContent-Type: text/plain\n\n", body: "body", framing: framedByClose},
		"line ends mixed":               {head: "HTTP/1.1 200 OK\nX-Id: one\r\nContent-Length: 4\n\r\n", body: "body"},
		"folded lines and blanks":       {head: ok + "X-Folded: a\r\n" + folded + "Content-Length: 4\r\n" + "\t \r\n\r\n", body: "body"},
		"folded lines, neither":         {head: ok + "X-Folded: a\r\n" + folded + "\r\n", body: "body", framing: framedByClose},
		"folded lines, LF":              {head: "HTTP/1.1 200 OK\nX-Id: one\nX-Folded: a\n \n\t\n\n", body: "body", framing: framedByClose},
		"first line is folded":          {head: "HTTP/1.1 200 OK\r\n \r\nX-Id: one\r\n\r\n", body: "body", invalid: true},
		"HTTP/1.0":                      {head: "HTTP/1.0 200 OK\r\nX-Id: one\r\n\r\n", body: "body", framing: framedByClose},
		"HTTP/1.0 with a length":        {head: "HTTP/1.0 200 OK\r\nX-Id: one\r\nContent-Length: 4\r\n\r\n", body: "body"},
		"HTTP/1.0 with chunks":          {head: "HTTP/1.0 200 OK\r\nX-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n", body: chunks + "\r\n", invalid: true},
		"HTTP/1.0, length and chunks":   {head: "HTTP/1.0 200 OK\r\nX-Id: one\r\nConnection: keep-alive\r\ntransfer-encoding:chunked\r\nContent-Length: 4\r\n\r\n", body: chunks + "\r\n", invalid: true},
		"blank after length":            {head: ok + "Content-Length : 4\r\n\r\n", body: "body", invalid: true},
		"blank after chunks":            {head: ok + "transfer-encoding  : chunked\r\n\r\n", body: chunks + "\r\n", invalid: true},
		"no content":                    {head: "HTTP/1.1 204 No Content\r\nX-Id: one\r\n\r\n", framing: noBody},
		"no content with a length":      {head: "HTTP/1.1 204 No Content\r\nX-Id: one\r\nContent-Length: 4\r\n\r\n", framing: noBody},
		"not modified":                  {head: "HTTP/1.1 304 Not Modified\r\nX-Id: one\r\nContent-Length: 4\r\n\r\n", framing: noBody},
		"HEAD":                          {method: http.MethodHead, head: ok + "Content-Length: 4\r\n\r\n", framing: noBody},
		"HEAD, chunks":                  {method: http.MethodHead, head: ok + "Transfer-Encoding: chunked\r\n\r\n", framing: noBody},
		"after 100":                     {before: "HTTP/1.1 100 Continue\r\n\r\n", head: ok + "Content-Length: 4\r\n\r\n", body: "body"},
		"after 102 and 103":             {before: "HTTP/1.1 102 Processing\r\nX-Id: one\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Id: one\r\nLink: </x>\r\nContent-Length: 4\r\n\r\n", head: ok + "\r\n", body: "body", framing: framedByClose},
		"after 103 with chunks":         {before: "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n", head: ok + "Content-Length: 4\r\n\r\n", body: "body"},
		"after a late answer":           {before: "HTTP/1.1 200 OK\r\nX-Id: other\r\nKeep-Alive: timeout=9\r\nContent-Length: 6\r\n\r\nother.", head: ok + "Content-Length: 4\r\n\r\n", body: "body"},
		"after a late answer in chunks": {before: "HTTP/1.1 503 Full\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", head: ok + "\r\n", body: "body", framing: framedByClose},
	}
	for name, c := range out {
		if c.text == "" {
			c.text = c.body
		}
		out[name] = c
	}
	return out
}

// cutTarget answers requests with an answer that is cut as each request says.
type cutTarget struct {
	address string
	answer  string
	silent  chan struct{} // receives a value when an answer has been cut and the connection stays open
}

func startCutTarget(t *testing.T, answer string) *cutTarget {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	target := &cutTarget{address: lis.Addr().String(), answer: answer, silent: make(chan struct{}, 1)}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go target.serve(conn.(*net.TCPConn))
		}
	}()
	return target
}

func (c *cutTarget) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		cut, err := strconv.Atoi(r.Header.Get(headerCut))
		if err != nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: zero\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		_, _ = io.WriteString(conn, c.answer[:cut])
		switch r.Header.Get(headerEnd) {
		case endReset:
			_ = conn.SetLinger(0)
		case endSilent:
			c.silent <- struct{}{}
			_, _ = conn.Read(make([]byte, 1)) // returns when the client closes the connection
		}
		return
	}
}

// outcome is what a client makes of a cut answer.
type outcome struct {
	header bool   // the answer was taken
	whole  bool   // its body ended without an error
	text   string // of its body
}

// send sends a request whose answer is cut. If the answer ends in silence, the request is given
// up when all of it has been sent.
func (c *cutTarget) send(t *testing.T, method string, cut int, end string, reused bool) (outcome, error) {
	t.Helper()
	client, cleanup := saddlehttpclient.New()
	defer func() { _ = cleanup() }()
	if reused {
		if _, err := send(t, client, c.address, "zero"); err != nil {
			return outcome{}, fmt.Errorf("first request: %w", err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	r := request(c.address, "one")
	r.HTTP.Header.Set(headerCut, strconv.Itoa(cut))
	r.HTTP.Header.Set(headerEnd, end)
	if method != "" {
		r.HTTP.Method = method
	}
	if end == endSilent {
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			select {
			case <-c.silent:
				cancel()
			case <-ctx.Done():
			}
		}()
		defer func() { <-sent }() // the client may give up an invalid answer sooner
	}
	resp, err := client.Do(ctx, time.Now(), r)
	if err != nil {
		var failed *fireflysaddle.TargetError
		if !errors.As(err, &failed) {
			return outcome{}, fmt.Errorf("not an error of the target: %w", err)
		}
		return outcome{}, nil
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return outcome{header: true, whole: err == nil, text: string(body)}, nil
}

// Guards against an answer that a target cuts off at any byte being taken as whole, and against
// a part of a header being believed.
func TestAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	for name, c := range cutCases() {
		for _, way := range []struct {
			end    string
			reused bool
		}{{endClosed, false}, {endClosed, true}, {endReset, false}, {endReset, true}, {endSilent, false}} {
			if way.reused && !strings.Contains(c.head, "X-Id") {
				continue // on a reused connection an answer needs an identifier
			}
			t.Run(fmt.Sprintf("%s, %s, connection reused: %v", name, way.end, way.reused), func(t *testing.T) {
				t.Parallel()
				target := startCutTarget(t, c.bytes())
				for cut := 0; cut <= len(c.bytes()); cut++ {
					got, err := target.send(t, c.method, cut, way.end, way.reused)
					if err == nil {
						err = c.check(cut, way.end, got)
					}
					if err != nil {
						t.Errorf("%q: %v", c.bytes()[:cut], err)
					}
				}
			})
		}
	}
}
