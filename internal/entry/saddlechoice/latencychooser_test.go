package saddlechoice_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddlechoice"
)

var epoch = time.Date(2026, time.May, 1, 8, 0, 0, 0, time.UTC)

// fakePool draws its candidates with equal probability.
type fakePool struct {
	candidates    []fireflysaddle.Candidate
	prefixHolders []int
	unavailable   map[int]bool
	lookups       int
}

func (p *fakePool) Len() int             { return len(p.candidates) }
func (p *fakePool) Draw(u float64) int   { return int(u * float64(len(p.candidates))) }
func (p *fakePool) PrefixHolders() []int { return p.prefixHolders }

func (p *fakePool) Candidate(i int) (fireflysaddle.Candidate, bool) {
	p.lookups++
	return p.candidates[i], !p.unavailable[i]
}

func idle() fireflysaddle.Candidate {
	return fireflysaddle.Candidate{Slots: 4, Rate: 20, LoadShare: 1}
}

// countChoices returns how often each of the candidates is chosen in 400 choices.
func countChoices(pool *fakePool) []int {
	chooser := saddlechoice.NewLatencyChooser(rand.New(rand.NewPCG(7, 7)))
	out := make([]int, pool.Len())
	for range 400 {
		if i, ok := chooser.Choose(epoch, fireflysaddle.Work{PromptTokens: 400, MaxTokens: 100}, pool); ok {
			out[i]++
		}
	}
	return out
}

func TestBetterCandidateIsChosen(t *testing.T) {
	modified := func(modify func(*fireflysaddle.Candidate)) fireflysaddle.Candidate {
		c := idle()
		modify(&c)
		return c
	}
	for _, c := range []struct {
		name   string
		worse  fireflysaddle.Candidate
		better fireflysaddle.Candidate
	}{
		{"requests of this entry fill the slots", modified(func(c *fireflysaddle.Candidate) { c.InFlight = 9 }), idle()},
		{"a recent report shows that other entries fill the slots", modified(func(c *fireflysaddle.Candidate) { c.Reported = 9 }), idle()},
		{
			"a report is corrected by requests sent since",
			modified(func(c *fireflysaddle.Candidate) { c.Reported, c.InFlight = 6, 4 }),
			modified(func(c *fireflysaddle.Candidate) { c.Reported, c.InFlight, c.InFlightAtReport = 6, 4, 4 }),
		},
		{
			"requests sent by other entries since the report are estimated",
			modified(func(c *fireflysaddle.Candidate) {
				c.Reported, c.InFlight, c.InFlightAtReport, c.LoadShare = 4, 4, 1, 0.3
			}),
			modified(func(c *fireflysaddle.Candidate) {
				c.Reported, c.InFlight, c.InFlightAtReport, c.LoadShare = 8, 4, 4, 0.3
			}),
		},
		{
			"an old report has little weight",
			modified(func(c *fireflysaddle.Candidate) { c.InFlight = 6 }),
			modified(func(c *fireflysaddle.Candidate) { c.Reported, c.ReportAge = 9, time.Minute }),
		},
		{"the worse one is slower", modified(func(c *fireflysaddle.Candidate) { c.Rate = 2 }), idle()},
		{"the worse one has a longer link latency", modified(func(c *fireflysaddle.Candidate) { c.Link = 50 * time.Millisecond }), idle()},
		{
			"a small cached prefix decides between equally long queues",
			modified(func(c *fireflysaddle.Candidate) { c.InFlight = 11 }),
			modified(func(c *fireflysaddle.Candidate) { c.InFlight, c.PrefixHit = 11, 0.1 }),
		},
		{
			"a cached prefix outweighs a slightly longer queue",
			modified(func(c *fireflysaddle.Candidate) { c.InFlight = 23 }),
			modified(func(c *fireflysaddle.Candidate) { c.InFlight, c.PrefixHit = 24, 0.9 }),
		},
		{"the better one has the prefix cached", idle(), modified(func(c *fireflysaddle.Candidate) { c.PrefixHit = 0.9 })},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := countChoices(&fakePool{candidates: []fireflysaddle.Candidate{c.worse, c.better}})
			is.True(got[1] > 350) // the worse one is chosen only if each draw returns it, also each repeated draw
		})
	}
}

func TestPrefixHolderIsConsideredInLargePool(t *testing.T) {
	is := is.New(t)
	pool := &fakePool{prefixHolders: []int{42}}
	for range 1000 {
		pool.candidates = append(pool.candidates, idle())
	}
	pool.candidates[42].PrefixHit = 0.9
	is.Equal(countChoices(pool)[42], 400)
	pool.candidates[42].InFlight = 20
	is.Equal(countChoices(pool)[42], 0) // not while its slots are full
}

func TestChoiceChecksFewTargets(t *testing.T) {
	is := is.New(t)
	pool := &fakePool{}
	for range 3000 {
		pool.candidates = append(pool.candidates, idle())
	}
	countChoices(pool)
	is.True(pool.lookups <= 2*400)
}

func TestOnlyAvailableTargetIsChosen(t *testing.T) {
	is := is.New(t)
	pool := &fakePool{unavailable: map[int]bool{}}
	for i := range 100 {
		pool.candidates = append(pool.candidates, idle())
		pool.unavailable[i] = i != 77
	}
	is.Equal(countChoices(pool)[77], 400)
	pool.unavailable[77] = true
	is.Equal(countChoices(pool)[77], 0)
	is.Equal(countChoices(&fakePool{}), []int{})
}
