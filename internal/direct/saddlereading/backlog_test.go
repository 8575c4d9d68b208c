package saddlereading_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlereading"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestReadsQueueAndDrain(t *testing.T) {
	is := is.New(t)
	var b saddlereading.Backlog
	is.Equal(b.Delay(start), time.Duration(0))
	b.Add(at(0), 300*time.Millisecond)
	b.Add(at(100), 200*time.Millisecond)
	is.Equal(b.Delay(at(100)), 400*time.Millisecond)
	is.Equal(b.Delay(at(600)), time.Duration(0)) // without any report of an end
}

func TestAReadThatEndsEarlyMakesTheNextOnesEarlier(t *testing.T) {
	is := is.New(t)
	var b saddlereading.Backlog
	first := b.Add(at(0), 300*time.Millisecond)
	second := b.Add(at(0), 200*time.Millisecond)
	b.End(at(100), first)
	is.Equal(b.Delay(at(100)), 200*time.Millisecond)
	b.End(at(600), second) // late: no effect
	is.Equal(b.Delay(at(600)), time.Duration(0))
}

func TestAReadIsLongRelativeToTheObjective(t *testing.T) {
	is := is.New(t)
	is.True(saddlereading.Long(125*time.Millisecond, 500*time.Millisecond))
	is.True(!saddlereading.Long(124*time.Millisecond, 500*time.Millisecond))
	is.True(!saddlereading.Long(time.Second, 0)) // the route has no objective
	is.True(!saddlereading.Long(0, 500*time.Millisecond))
}
