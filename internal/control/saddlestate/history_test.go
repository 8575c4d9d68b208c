package saddlestate_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestate"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// The history is bounded and comes back from a snapshot as it was.
func TestHistoryIsBoundedAndOutlivesASnapshot(t *testing.T) {
	is := is.New(t)
	const revisions, kept = 25, 20
	s := saddlestate.New()
	for i := range uint64(revisions) {
		body := fmt.Sprintf("[deployment]\nweight = %d\nmodels = [{ name = \"mastori\" }]\n", i+1)
		result := s.Apply(i+1, &saddlewire.Command{Request: fmt.Sprint("r", i), Change: &saddlewire.Command_PutTemplate{
			PutTemplate: &saddlewire.PutTemplate{Name: "meet", Base: i, Body: body},
		}})
		is.True(result.GetAccepted())
	}
	data, err := s.Encode()
	is.NoErr(err)
	back, err := saddlestate.Decode(data)
	is.NoErr(err)
	past := back.History(saddlestate.KindTemplate, "meet")
	is.Equal(len(past), kept)
	is.Equal(past[0].GetRevision(), uint64(revisions-kept+1))
	is.Equal(past[kept-1].GetRequest(), "r24")
	is.Equal(len(back.History(saddlestate.KindTemplate, "none")), 0)
}
