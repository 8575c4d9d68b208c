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

// fakePool offers candidates, drawn alike.
type fakePool struct {
	candidates []fireflysaddle.Candidate
	hinted     []int
	barred     map[int]bool
	looked     int
}

func (p *fakePool) Len() int             { return len(p.candidates) }
func (p *fakePool) Draw(u float64) int   { return int(u * float64(len(p.candidates))) }
func (p *fakePool) PrefixHolders() []int { return p.hinted }

func (p *fakePool) Candidate(i int) (fireflysaddle.Candidate, bool) {
	p.looked++
	return p.candidates[i], !p.barred[i]
}

func idle() fireflysaddle.Candidate {
	return fireflysaddle.Candidate{Slots: 4, Rate: 20, LoadShare: 1}
}

// choices counts how often each of the candidates is chosen.
func choices(pool *fakePool) []int {
	chooser := saddlechoice.NewLatencyChooser(rand.New(rand.NewPCG(7, 7)))
	out := make([]int, pool.Len())
	for range 400 {
		if i, ok := chooser.Choose(epoch, fireflysaddle.Work{PromptTokens: 400, MaxTokens: 100}, pool); ok {
			out[i]++
		}
	}
	return out
}

func TestTheBetterOfTwoCandidatesIsChosen(t *testing.T) {
	change := func(by func(*fireflysaddle.Candidate)) fireflysaddle.Candidate {
		c := idle()
		by(&c)
		return c
	}
	for _, c := range []struct {
		name  string
		worse fireflysaddle.Candidate
		other fireflysaddle.Candidate
	}{
		{"its own requests fill the slots", change(func(c *fireflysaddle.Candidate) { c.InFlight = 9 }), idle()},
		{"others fill the slots by a fresh report", change(func(c *fireflysaddle.Candidate) { c.Reported = 9 }), idle()},
		{
			"a report is corrected by what was sent since",
			change(func(c *fireflysaddle.Candidate) { c.Reported, c.InFlight = 6, 4 }),
			change(func(c *fireflysaddle.Candidate) { c.Reported, c.InFlight, c.InFlightAtReport = 6, 4, 4 }),
		},
		{
			"other entries have sent as much since",
			change(func(c *fireflysaddle.Candidate) {
				c.Reported, c.InFlight, c.InFlightAtReport, c.LoadShare = 4, 4, 1, 0.3
			}),
			change(func(c *fireflysaddle.Candidate) {
				c.Reported, c.InFlight, c.InFlightAtReport, c.LoadShare = 8, 4, 4, 0.3
			}),
		},
		{
			"an old report counts little",
			change(func(c *fireflysaddle.Candidate) { c.InFlight = 6 }),
			change(func(c *fireflysaddle.Candidate) { c.Reported, c.ReportAge = 9, time.Minute }),
		},
		{"it is slower", change(func(c *fireflysaddle.Candidate) { c.Rate = 2 }), idle()},
		{"it is further away", change(func(c *fireflysaddle.Candidate) { c.Link = 50 * time.Millisecond }), idle()},
		{
			"a prefix weighs more where others queue",
			change(func(c *fireflysaddle.Candidate) { c.InFlight = 11 }),
			change(func(c *fireflysaddle.Candidate) { c.InFlight, c.PrefixHit = 11, 0.1 }),
		},
		{
			"a prefix outweighs a little more of a queue",
			change(func(c *fireflysaddle.Candidate) { c.InFlight = 23 }),
			change(func(c *fireflysaddle.Candidate) { c.InFlight, c.PrefixHit = 24, 0.9 }),
		},
		{"the other holds the prefix", idle(), change(func(c *fireflysaddle.Candidate) { c.PrefixHit = 0.9 })},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := choices(&fakePool{candidates: []fireflysaddle.Candidate{c.worse, c.other}})
			is.True(got[1] > 350) // the worse one only where both draws fall on it
		})
	}
}

func TestAHintedTargetIsConsideredHoweverManyThereAre(t *testing.T) {
	is := is.New(t)
	pool := &fakePool{hinted: []int{42}}
	for range 1000 {
		pool.candidates = append(pool.candidates, idle())
	}
	pool.candidates[42].PrefixHit = 0.9
	is.Equal(choices(pool)[42], 400)
	pool.candidates[42].InFlight = 20
	is.Equal(choices(pool)[42], 0) // not when it is busy
}

func TestAChoiceLooksAtFewTargets(t *testing.T) {
	is := is.New(t)
	pool := &fakePool{}
	for range 3000 {
		pool.candidates = append(pool.candidates, idle())
	}
	choices(pool)
	is.True(pool.looked <= 2*400)
}

func TestTheOnlyTargetThatCanTakeARequestIsFound(t *testing.T) {
	is := is.New(t)
	pool := &fakePool{barred: map[int]bool{}}
	for i := range 100 {
		pool.candidates = append(pool.candidates, idle())
		pool.barred[i] = i != 77
	}
	is.Equal(choices(pool)[77], 400)
	pool.barred[77] = true
	is.Equal(choices(pool)[77], 0)
	is.Equal(choices(&fakePool{}), []int{})
}
