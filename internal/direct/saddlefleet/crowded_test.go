package saddlefleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// crowded returns a pool whose callers compete for room, and engines that each hold all layers:
// two in the entry's data centre and one in another.
func crowded() (*saddlerouting.Pool, *fixture) {
	pool, _ := fastAndSlow()
	pool.Ranked = true
	pool.Model.MeanPromptTokens, pool.Model.MeanAnswerTokens = 800, 200
	pool.Model.ChunkTokens, pool.Model.StepsPerPass = 512, 4
	near, other, far := engine("near", "a", 0, 4), engine("other", "a", 0, 4), engine("far", "b", 0, 4)
	near.Accelerator, other.Accelerator, far.Accelerator = "fast", "fast", "fast"
	return pool, newFixture(near, other, far)
}

// sendAll sends requests of a thousand tokens, one in each ms, and counts their heads.
func sendAll(t *testing.T, f *fixture, pool *saddlerouting.Pool, requests int, hold bool) map[fireflysaddle.TargetID]int {
	t.Helper()
	heads := map[fireflysaddle.TargetID]int{}
	for i := range requests {
		c, done, _, ok := f.fleet.PickChain(start.Add(time.Duration(i)*time.Millisecond), pool, 1000, nil)
		if !ok {
			t.Fatalf("no chain for request %d", i)
		}
		heads[c.Head.ID]++
		if !hold {
			done()
		}
	}
	return heads
}

// Waves out of step: a full data centre uses the room of another one, where callers compete for
// it. Elsewhere a head in another data centre keeps its price.
func TestWavesOutOfStepUseTheRoomOfTheOtherDataCentre(t *testing.T) {
	is := is.New(t)
	pool, f := crowded()
	far := sendAll(t, f, pool, 170, true)["far"]
	is.True(far >= 10)
	is.True(far <= 85) // half of them stay at least

	pool, f = crowded()
	pool.Ranked = false
	is.True(sendAll(t, f, pool, 170, true)["far"] < far)
}

// One head's slots: requests that the memory of a head holds, but not its slots, begin at
// another one.
func TestRequestsBeyondTheSlotsOfAHeadBeginElsewhere(t *testing.T) {
	is := is.New(t)
	pool, _ := crowded()
	few, more := engine("few", "a", 0, 4), engine("more", "a", 0, 4)
	few.Accelerator, more.Accelerator, few.Slots, more.Slots = "fast", "fast", 10, 90
	f := newFixture(few, more)
	heads := sendAll(t, f, pool, 60, true)
	is.True(heads["few"] <= 12)
}

// A burst of prompts at one engine: what it has been sent to read counts, although its requests
// have ended.
func TestPromptsThatAnEngineReadsCountAsItsLoad(t *testing.T) {
	is := is.New(t)
	pool, f := crowded()
	pool.Model.PrefillTokensPerSecond = 40_000
	c, done, _, ok := f.fleet.PickChain(start, pool, 60_000, nil)
	is.True(ok)
	done()
	heads := sendAll(t, f, pool, 20, false)
	busy := c.Head.ID
	is.True(heads[busy] < 5)
	heads = map[fireflysaddle.TargetID]int{}
	for range 20 { // it has read them long ago
		c, done, _, ok := f.fleet.PickChain(start.Add(time.Minute), pool, 1000, nil)
		is.True(ok)
		done()
		heads[c.Head.ID]++
	}
	is.True(heads[busy] >= 5)
}

// The data centre that is cheaper is lost: requests go to the other one.
func TestCrowdedDataCentreIsLost(t *testing.T) {
	is := is.New(t)
	pool, f := crowded()
	f.update(&saddlewire.Update{Unregistered: []string{"near", "other"}})
	is.Equal(sendAll(t, f, pool, 5, true)["far"], 5)
}
