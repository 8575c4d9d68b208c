package saddleengine_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleengine"
)

// A token stream is complete only with its last line, and a line or a header of an engine
// that sends without end is not read without bound.
func TestGenerateEndsWithLastLine(t *testing.T) {
	const testTimeout = 20 * time.Second
	endless := func(w http.ResponseWriter) {
		for block := strings.Repeat("x", 32<<10); ; {
			if _, err := io.WriteString(w, block); err != nil {
				return
			}
		}
	}
	for name, c := range map[string]struct {
		serve    func(w http.ResponseWriter)
		tokens   string
		complete bool
	}{
		"complete": {func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, `{"text":"a"}`+"\n"+`{"text":"b"}`+"\n"+`{"done":true}`+"\n")
		}, "ab", true},
		"without the last line": {func(w http.ResponseWriter) { _, _ = io.WriteString(w, `{"text":"a"}`+"\n") }, "a", false},
		"inside a line":         {func(w http.ResponseWriter) { _, _ = io.WriteString(w, `{"text":"a"}`+"\n"+`{"text":"b`) }, "a", false},
		"empty":                 {func(http.ResponseWriter) {}, "", false},
		"line without end": {func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, `{"text":"a"}`+"\n"+`{"text":"`)
			endless(w)
		}, "a", false},
		"header without end": {func(w http.ResponseWriter) {
			w.Header().Set("X-Filler", strings.Repeat("x", 1<<20))
		}, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.serve(w) }))
			defer srv.Close()
			engine, cleanup := saddleengine.New("engine-1", strings.TrimPrefix(srv.URL, "http://"))
			defer cleanup()
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			var tokens strings.Builder
			err := engine.Generate(ctx, fireflysaddle.Generation{Request: "r-1", MaxTokens: 2}, func(text string) error {
				tokens.WriteString(text)
				return nil
			})
			var failed *fireflysaddle.TargetError
			is.Equal(errors.As(err, &failed), !c.complete)
			is.Equal(tokens.String(), c.tokens)
			is.NoErr(ctx.Err()) // the end was not that of the test's patience
		})
	}
}
