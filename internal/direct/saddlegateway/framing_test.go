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
