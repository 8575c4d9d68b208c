package saddleengine_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleengine"
)

// startCut starts an engine that answers each request with some bytes and closes the connection.
func startCut(t *testing.T, answer string) (address string) {
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
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, answer)
			}()
		}
	}()
	return lis.Addr().String()
}

// Guards against an engine's answer that is cut off at any byte being taken as whole, in each
// framing and for each call. An order, an import and a cancellation are answered by their header.
func TestAnswerCutAtAnyByteIsNoAnswer(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		step   = `{"activation":"AAEC","count":12,"token":"ab"}`
		export = `{"request":"r-1","attempt":1,"positions":34,"data":"AAEC"}`
		tokens = `{"text":"a"}` + "\n" + `{"done":true}`
	)
	for name, c := range map[string]struct {
		body   string
		byHead bool
		call   func(e *saddleengine.Engine) error
	}{
		"generate": {tokens, false, func(e *saddleengine.Engine) error {
			return e.Generate(t.Context(), fireflysaddle.Generation{Request: "r-1", MaxTokens: 1}, func(string) error { return nil })
		}},
		"step": {step, false, func(e *saddleengine.Engine) error {
			got, err := e.Step(t.Context(), fireflysaddle.Step{Request: "r-1"})
			if err == nil && (got.Count != 12 || got.Token != "ab" || len(got.Activation) != 3) {
				t.Errorf("a part of an answer is taken: %+v", got)
			}
			return err
		}},
		"export": {export, false, func(e *saddleengine.Engine) error {
			got, err := e.Export(t.Context(), "r-1", 1)
			if err == nil && (got.Positions != 34 || len(got.Data) != 3) {
				t.Errorf("a part of an answer is taken: %+v", got)
			}
			return err
		}},
		"import": {"{}", true, func(e *saddleengine.Engine) error {
			return e.Import(t.Context(), "r-1", 1, fireflysaddle.KVCache{})
		}},
		"order":  {"{}", true, func(e *saddleengine.Engine) error { return e.Order(t.Context(), fireflysaddle.Order{}) }},
		"cancel": {"{}", true, func(e *saddleengine.Engine) error { return e.Cancel(t.Context(), "r-1", 1) }},
	} {
		for framing, whole := range map[string]string{
			"length":             fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(c.body), c.body),
			"chunks":             fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(c.body), c.body),
			"neither":            head + "\r\n" + c.body,
			"chunks in HTTP/1.0": fmt.Sprintf("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(c.body), c.body),
		} {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				headEnd := strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n")
				bodyEnd := strings.Index(whole, c.body) + len(c.body) // what the answer says has arrived
				for cut := range len(whole) {
					engine, cleanup := saddleengine.New("engine-1", startCut(t, whole[:cut]))
					err := c.call(engine)
					cleanup()
					if err == nil && (cut < headEnd || (!c.byHead && cut < bodyEnd)) {
						t.Errorf("%q is taken as whole", whole[:cut])
					}
					var failed *fireflysaddle.TargetError
					is.True(err == nil || errors.As(err, &failed)) // the call may have been carried out
				}
			})
		}
	}
}
