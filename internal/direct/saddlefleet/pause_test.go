package saddlefleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const pauseTime = 4 * time.Second

// choose returns the target that gets the next request of the plain service.
func (f *fixture) choose(t *testing.T, now time.Time) saddlefleet.Target {
	t.Helper()
	target, done, ok := f.fleet.Pick(now, "desk", nil)
	if ok {
		done()
	}
	return target
}

// Pattern: a target that is too busy asks for a pause. It gets nothing in that time, even if
// no other is left, and few requests after it.
func TestTargetThatAskedForAPauseGetsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(plainService("near", "a"))
	f.fleet.RecordPause(start, f.choose(t, start), pauseTime, "r1")
	for _, after := range []time.Duration{0, time.Second, pauseTime - time.Millisecond} {
		is.Equal(f.pick(t, start.Add(after)), "")
		next, paused := f.fleet.NextAccepting(start.Add(after), "desk")
		is.True(paused)
		is.Equal(next, start.Add(pauseTime))
	}
	f.fleet.RecordPause(start, saddlefleet.Target{ID: "near"}, time.Hour, "r2") // of another incarnation
	f.fleet.RecordPause(start, f.choose(t, start.Add(pauseTime)), time.Second, "r3")
	sent := 0
	for now := start.Add(pauseTime); now.Before(start.Add(pauseTime + time.Second)); now = now.Add(10 * time.Millisecond) {
		if f.pick(t, now) == "near" {
			sent++
		}
	}
	is.True(sent >= 8)
	is.True(sent <= 12) // of a hundred
	for range 20 {
		is.Equal(f.pick(t, start.Add(pauseTime+2*time.Second)), "near")
	}
	_, paused := f.fleet.NextAccepting(start.Add(pauseTime+2*time.Second), "desk")
	is.True(!paused)
}

// The pause is that of one incarnation, and the other targets serve meanwhile.
func TestPauseEndsWithItsIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFixture(plainService("near", "a"), plainService("far", "b"))
	f.fleet.RecordPause(start, f.choose(t, start), pauseTime, "r1")
	for range 20 {
		is.Equal(f.pick(t, start), "far")
	}
	_, paused := f.fleet.NextAccepting(start, "desk")
	is.True(!paused)
	again := plainService("near", "a")
	again.Incarnation = 2
	f.update(&saddlewire.Update{Registrations: []*saddlewire.Registration{again}})
	is.Equal(f.pick(t, start), "near")
}

// A pausing engine is no stage of a chain, and is not probed for its refusal. If it alone
// holds a layer, the time at which it can serve is known.
func TestPausingEngineIsNoStage(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 2), engine("a2", "a", 2, 4), engine("b0", "b", 0, 2), engine("b2", "b", 2, 4))
	pool := newPool()
	f.fleet.RecordStagePause(start, "a2", pauseTime, "r1")
	f.fleet.RecordRefusal(start, "a2")
	is.Equal(len(f.fleet.StartDueProbes(start)), 0)
	for range 5 {
		head, done, _ := f.chain(start.Add(time.Second), 1)
		is.Equal(head, "b0")
		done()
	}
	_, paused := f.fleet.NextCovered(start.Add(time.Second), pool)
	is.True(!paused)
	f.fleet.RecordStagePause(start, "b2", pauseTime/2, "r1")
	head, _, _ := f.chain(start.Add(time.Second), 1)
	is.Equal(head, "")
	next, paused := f.fleet.NextCovered(start.Add(time.Second), pool)
	is.True(paused)
	is.Equal(next, start.Add(pauseTime/2))
	head, _, _ = f.chain(start.Add(pauseTime/2), 1)
	is.Equal(head, "b0")
}

// Guards against the fleet blocking when a target pauses after an earlier pause has ended.
func TestPausesFollowOneAnother(t *testing.T) {
	is := is.New(t)
	f := newFixture(plainService("near", "a"), plainService("far", "b"))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for now := start; now.Before(start.Add(5 * pauseTime)); now = now.Add(pauseTime + time.Second) {
			f.fleet.RecordPause(now, f.choose(t, now), pauseTime, "r1")
			f.fleet.RecordPause(now, f.choose(t, now), pauseTime, "r2")
			is.Equal(f.pick(t, now), "")
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("the fleet is blocked")
	}
}
