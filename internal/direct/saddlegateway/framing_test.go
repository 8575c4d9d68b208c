package saddlegateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
)

// closedReply returns an answer with neither a length nor chunks, whose connection the
// target closes in an orderly way after the given bytes.
func closedReply(body string) *fireflysaddle.Reply {
	r := reply(http.StatusOK, strings.NewReader(body))
	r.Framing = fireflysaddle.FramingClose
	return r
}

// The line of a request tells whether the end of its answer is proved by the framing, and
// whether the stream ended inside an event.
func TestFramingOfAnswerIsLogged(t *testing.T) {
	is := is.New(t)
	partial := "id: 9\nda"
	f := newFixture(t, answerSequence(func(fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		return closedReply(eventStream(0, 8) + partial), nil
	}, answerRest))
	f.serve(call("/draft/"))
	lines := append(f.log.lines("request ended"), f.log.lines("attempt failed")...)
	is.True(strings.Contains(strings.Join(lines, ""), `"framing":"close","partial_bytes":8`))
}

// An answer to a streaming request that is not a stream of events is forwarded whole.
func TestAnswerOfOtherTypeIsForwarded(t *testing.T) {
	is := is.New(t)
	const body = `{"error":"the model has no such adapter"}`
	f := newFixture(t, answerSequence(func(fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		r := okReply(body)
		r.Header.Set("Content-Type", "application/json")
		return r, nil
	}))
	got := f.serve(call("/draft/"))
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body.String(), body)
	is.True(!got.aborted)
}
