package saddlefleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	shortPrompt = 500    // is read in 0.5 ms
	longPrompt  = 400000 // is read in 400 ms
	objective   = 500 * time.Millisecond
)

// readers is a load on three engines, each of which holds all layers.
type readers struct {
	*fixture
	pool *saddlerouting.Pool
}

func newReaders(objective time.Duration) *readers {
	pool, _ := fastAndSlow()
	pool.Model.TokenBytes = 40 // capacity for ten million tokens at each engine
	pool.Ranked = true
	pool.FirstByteObjective = objective
	return &readers{fixture: newFixture(reader("a1"), reader("a2"), reader("a3")), pool: pool}
}

func reader(id string) *saddlewire.Registration {
	r := engine(id, "a", 0, 4)
	r.Accelerator = "fast"
	return r
}

// send sends a prompt to the engine that is chosen, and returns the engine.
func (r *readers) send(t *testing.T, now time.Time, prompt int) (head string, end, done func()) {
	t.Helper()
	c, done, _, ok := r.fleet.PickChain(now, r.pool, prompt, nil)
	if !ok {
		t.Fatal("no chain has capacity")
	}
	return c.Head.Address, r.fleet.BeginReading(c, prompt), done
}

// heads counts the engines to which n short prompts are sent, one in each ms from now.
func (r *readers) heads(t *testing.T, now time.Time, n int) map[string]int {
	t.Helper()
	out := map[string]int{}
	for i := range n {
		sent := now.Add(time.Duration(i) * time.Millisecond)
		head, end, _ := r.send(t, sent, shortPrompt)
		end()
		out[head]++
	}
	return out
}

func TestLoadOneLongPromptAmongFortyShort(t *testing.T) {
	for name, c := range map[string]struct {
		objective time.Duration
		avoided   bool
	}{
		"with an objective":    {objective, true},
		"without an objective": {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newReaders(c.objective)
			busy, end, done := r.send(t, start, longPrompt)
			done() // compares engines of equal load
			is.Equal(r.heads(t, start, 40)[busy] == 0, c.avoided)
			end()
			is.True(r.heads(t, start.Add(time.Second), 40)[busy] > 0)
		})
	}
}

func TestLoadTheMixTurnsRound(t *testing.T) {
	is := is.New(t)
	r := newReaders(objective)
	for range 4 {
		_, end, done := r.send(t, start, longPrompt)
		end()
		done()
	}
	after := r.heads(t, start.Add(time.Second), 60)
	is.Equal(after["a1"], 20)
	is.Equal(after["a2"], 20)
	is.Equal(after["a3"], 20)
}

func TestLoadOnlyLongPrompts(t *testing.T) {
	is := is.New(t)
	r := newReaders(objective)
	sent := map[string]int{}
	for range 12 {
		head, _, _ := r.send(t, start, longPrompt)
		sent[head]++
	}
	is.Equal(sent["a1"], 4)
	is.Equal(sent["a2"], 4)
	is.Equal(sent["a3"], 4)
}

// The largest tenth gets chains until the engines are full, as it does without an objective.
func TestLoadLargestTenthUnderOverload(t *testing.T) {
	is := is.New(t)
	accepted := map[time.Duration]int{}
	for _, o := range []time.Duration{0, objective} {
		r := newReaders(o)
		for i := range 1000 {
			prompt, long := shortPrompt, i%10 == 0
			if long {
				prompt = longPrompt
			}
			c, _, _, ok := r.fleet.PickChain(start, r.pool, prompt, nil)
			if ok {
				r.fleet.BeginReading(c, prompt)
				if long {
					accepted[o]++
				}
			}
		}
	}
	is.True(accepted[0] > 10 && accepted[0] < 100) // the engines are full
	is.Equal(accepted[objective], accepted[0])
}

func TestLoadAnAvoidedEngineIsLost(t *testing.T) {
	is := is.New(t)
	r := newReaders(objective)
	busy, end, _ := r.send(t, start, longPrompt)
	restarted := reader(busy)
	restarted.Incarnation = 2
	r.update(&saddlewire.Update{Registrations: []*saddlewire.Registration{restarted}})
	is.True(r.heads(t, start, 40)[busy] > 0) // the new start reads nothing
	end()                                    // of the former start
	is.True(r.heads(t, start, 40)[busy] > 0)
}

// Reads that end late count for as long as they take: each is short, together they are as long
// as one long prompt.
func TestLoadManyShortPromptsWithoutAnEventAtOneEngine(t *testing.T) {
	is := is.New(t)
	r := newReaders(objective)
	for range 400 {
		c, done, _, ok := r.fleet.PickChain(start, r.pool, shortPrompt, []string{"a2", "a3"})
		is.True(ok)
		r.fleet.BeginReading(c, shortPrompt)
		done()
	}
	is.Equal(r.heads(t, start, 40)["a1"], 0)
}

func TestLoadTheOnlyEngineLeftReadsALongPrompt(t *testing.T) {
	is := is.New(t)
	r := newReaders(objective)
	busy, _, _ := r.send(t, start, longPrompt)
	var others []string
	for _, id := range []string{"a1", "a2", "a3"} {
		if id != busy {
			others = append(others, id)
		}
	}
	c, _, _, ok := r.fleet.PickChain(start, r.pool, shortPrompt, others)
	is.True(ok)
	is.Equal(c.Head.Address, busy)
}

func TestAReadOfAPlainServiceIsNotRecorded(_ *testing.T) {
	newReaders(objective).fleet.BeginReading(saddlefleet.Chain{}, longPrompt)()
}
