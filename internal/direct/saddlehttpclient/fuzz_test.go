package saddlehttpclient_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlehttpclient"
)

// FuzzAnswer sends a request to a target that answers with arbitrary bytes and closes the
// connection. The client must neither panic nor wait, and must not reuse the connection.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		"", "HTTP/1.1 200 OK\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: one\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1\r\n\r\nxHTTP/1.0 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "\x16\x03\x01\x00*\x02\x00",
		"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 9\r\n\r\nbody",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		client, cleanup := saddlehttpclient.New()
		defer func() { _ = cleanup() }()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		resp, err := client.Do(ctx, time.Now(), request(startBytes(t, answer), "one"))
		if err == nil {
			checkBody(t, resp)
		}
		if ctx.Err() != nil {
			t.Errorf("%q: the client waited for more", answer)
		}
	})
}

// startBytes starts a target that answers one request with arbitrary bytes and closes the
// connection.
func startBytes(t *testing.T, answer []byte) (address string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 4<<10))
		_, _ = conn.Write(answer)
	}()
	return lis.Addr().String()
}

// FuzzCutAnswer sends a request to targets that answer with arbitrary bytes, the second one with
// more of them. What is taken of the first answer must stay the same: if more bytes change a
// header or a body that does not end with its connection, it was not complete.
func FuzzCutAnswer(f *testing.F) {
	for _, c := range cutCases() {
		for _, cut := range []int{len(c.before) + len(c.head) - 1, len(c.before) + len(c.head), len(c.bytes())} {
			f.Add([]byte(c.bytes()[:cut]), []byte(c.bytes()[cut:]+"\r\n"))
		}
	}
	f.Fuzz(func(t *testing.T, first, rest []byte) {
		cut, err := readAnswer(t, first)
		if err != nil {
			return
		}
		whole, err := readAnswer(t, slices.Concat(first, rest))
		if err != nil {
			t.Fatalf("%q and then %q: a header that was taken is no header: %v", first, rest, err)
		}
		if cut.status != whole.status || !reflect.DeepEqual(cut.header, whole.header) {
			t.Errorf("%q and then %q: the header was not complete", first, rest)
		}
		if cut.bodyErr == nil && !cut.endsWithConnection && (whole.bodyErr != nil || !bytes.Equal(cut.body, whole.body)) {
			t.Errorf("%q and then %q: the body was not complete", first, rest)
		}
	})
}

// takenAnswer is what a client takes of an answer.
type takenAnswer struct {
	status             string
	header             http.Header
	body               []byte
	bodyErr            error
	endsWithConnection bool
}

// readAnswer returns what a client takes of arbitrary bytes after which the connection is closed.
func readAnswer(t *testing.T, answer []byte) (takenAnswer, error) {
	t.Helper()
	client, cleanup := saddlehttpclient.New()
	defer func() { _ = cleanup() }()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	resp, err := client.Do(ctx, time.Now(), request(startBytes(t, answer), "one"))
	if err != nil {
		return takenAnswer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return takenAnswer{
		status: resp.Status, header: resp.Header, body: body, bodyErr: err,
		endsWithConnection: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
	}, nil
}

// checkBody reads a body and checks that its length is the announced one unless there is an
// error.
func checkBody(t *testing.T, resp *http.Response) {
	t.Helper()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && resp.ContentLength >= 0 && n != resp.ContentLength {
		t.Errorf("%d bytes without an error of %d", n, resp.ContentLength)
	}
	_ = resp.Body.Close()
}
