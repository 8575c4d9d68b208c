package saddleplacer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Guards against models that are never placed because another model has engines of its own.
func TestSeveralModelsArePlaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEnginesOfTwoModels()
		e.start(t)
		time.Sleep(4 * time.Second)
		is.True(e.modelCovered("drafts"))
		is.True(e.modelCovered("summaries"))
	})
}

// Pattern: all machines lose power and are back, with all engines of all models empty.
// Guards against models that are not placed again.
func TestSeveralModelsArePlacedAgainAfterAllEnginesRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEnginesOfTwoModels()
		e.start(t)
		time.Sleep(4 * time.Second)
		e.term.Store(0)
		for _, reg := range e.View().Registrations {
			restarted, _ := proto.Clone(reg).(*saddlewire.Registration)
			restarted.Incarnation, restarted.Layers = 2, nil
			e.update(&saddlewire.Update{Registrations: []*saddlewire.Registration{restarted}})
		}
		is.True(!e.modelCovered("drafts") && !e.modelCovered("summaries"))
		e.term.Store(4)
		time.Sleep(4 * time.Second)
		is.True(e.modelCovered("drafts"))
		is.True(e.modelCovered("summaries"))
	})
}

// Pattern: engines of one model restart one after the other, more often than engines settle.
// Guards against another model waiting for them.
func TestModelIsPlacedWhileEnginesOfAnotherRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEnginesOfTwoModels()
		e.start(t)
		for incarnation := range uint64(8) {
			e.registerIn("summaries", "s0", 2+incarnation)
			time.Sleep(500 * time.Millisecond)
		}
		is.True(e.modelCovered("drafts"))
	})
}

func newEnginesOfTwoModels() *engines {
	e := newEngines(3)
	e.models = []fireflysaddle.Group{"drafts", "summaries"}
	for _, id := range []string{"s0", "s1", "s2"} {
		e.registerIn("summaries", id, 1)
	}
	return e
}
