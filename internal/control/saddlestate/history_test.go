package saddlestate_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestate"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// The history is bounded, and a snapshot preserves it.
func TestHistoryIsBoundedAndRestoredFromSnapshot(t *testing.T) {
	is := is.New(t)
	const revisions, bound = 25, 20
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
	restored, err := saddlestate.Decode(data)
	is.NoErr(err)
	past := restored.History(saddlestate.KindTemplate, "meet")
	is.Equal(len(past), bound)
	is.Equal(past[0].GetRevision(), uint64(revisions-bound+1))
	is.Equal(past[bound-1].GetRequest(), "r24")
	is.Equal(len(restored.History(saddlestate.KindTemplate, "none")), 0)
}
