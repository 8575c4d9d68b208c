package saddlesim

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/agent/saddlequeue"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddleload"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	prefillShare  = 0.02                  // cost of a prompt token by that of a generated one
	serviceTime   = 50 * time.Millisecond // of a plain call
	serviceSlots  = 4
	serviceLink   = time.Millisecond
	engineGroup   = "drafting-models"
	serviceGroup  = "filing-desk"
	noLayers      = 1 // engines hold the whole model
	minServedRate = 1e-6
	firstPace     = 8 // tokens after which an entry knows the rate of an attempt
)

// target is a model of an engine or a plain service with the real queue of its
// agent.
type target struct {
	fleet  *Fleet
	spec   saddleload.Engine
	plain  bool
	queue  fireflysaddle.Admitter
	cache  *cache
	tries  map[fireflysaddle.RequestID]*try
	lost   bool
	lostAt time.Time
	slow   float64 // divisor of the rate
	events int     // cache events so far
	starts uint64  // incarnations of the agent
	listed bool    // control knows it
}

func newTarget(f *Fleet, spec saddleload.Engine, plain bool) *target {
	t := &target{fleet: f, spec: spec, plain: plain, slow: 1, listed: true}
	t.restart()
	return t
}

// restart empties the queue and the cache.
func (t *target) restart() {
	t.starts++
	t.lost = false
	t.queue = saddlequeue.New(t.spec.Slots, t.fleet.cfg.QueueWait, t.spec.Rate)
	t.cache = newCache(t.spec.CacheLimit)
	if t.fleet.cfg.EventLag > 0 {
		t.cache.evicted = t.publish
	}
	t.tries = map[fireflysaddle.RequestID]*try{}
}

// publish sends a cache event to the entries, or loses it: the next one shows
// the gap.
func (t *target) publish(template, tokens int) {
	t.events++
	every := t.fleet.cfg.LoseEvents
	if every > 0 && t.events%every == 0 {
		return
	}
	gap := every > 0 && t.events > 1 && (t.events-1)%every == 0
	t.fleet.clock.After(t.spec.Link+t.fleet.cfg.EventLag, func() {
		for _, e := range t.fleet.entries {
			if gap {
				e.router.InvalidatePrefixes(t.spec.ID)
			}
			e.router.RecordEviction(t.spec.ID, saddleload.Prefixes(template, tokens))
		}
	})
}

// member returns what control knows of the target.
func (t *target) member() *saddlewire.Member {
	group, kind := engineGroup, fireflysaddle.KindEngine
	if t.plain {
		group, kind = serviceGroup, fireflysaddle.KindService
	}
	return &saddlewire.Member{
		Node:        "agent-" + string(t.spec.ID),
		Incarnation: t.starts,
		Address:     string(t.spec.ID),
		Target: &saddlewire.Target{
			Id: string(t.spec.ID), Kind: string(kind), Group: group, Version: "1",
			Layers: &saddlewire.Layers{From: 0, To: noLayers, Of: noLayers},
			Slots:  uint32(t.spec.Slots), Rate: t.spec.Rate,
			LinkMs: float64(t.spec.Link) / float64(time.Millisecond),
		},
	}
}

func (t *target) load(now time.Time) *saddlewire.Load {
	running, queued := t.queue.Counts()
	return &saddlewire.Load{
		Running: uint32(running),
		Queued:  uint32(queued),
		WaitMs:  float64(t.queue.EstimatedWait(now)) / float64(time.Millisecond),
	}
}

// receive takes in an attempt; one that a lost target gets is never answered.
func (t *target) receive(y *try) {
	if t.lost {
		return
	}
	now := t.fleet.clock.Now()
	q := y.job.Request
	demand := fireflysaddle.Demand{
		Request:   q.ID,
		Workspace: q.Workspace,
		Weight:    1,
		Tokens:    max(int(float64(q.PromptTokens)*prefillShare), 0) + q.MaxTokens - y.job.Given,
	}
	if q.Patience > 0 {
		demand.Deadline = y.job.sent.Add(q.Patience)
	}
	if err := t.queue.Offer(now, demand); err != nil {
		t.answer(y, err)
		return
	}
	t.tries[q.ID] = y
	t.pump()
}

// pump starts what can start and answers what came too late.
func (t *target) pump() {
	now := t.fleet.clock.Now()
	for _, id := range t.queue.RemoveExpired(now) {
		y := t.tries[id]
		delete(t.tries, id)
		t.answer(y, &fireflysaddle.RefusedError{Code: fireflysaddle.CodeDeadline, RetryAfter: t.queue.EstimatedWait(now)})
	}
	for {
		id, ok := t.queue.Next(now)
		if !ok {
			return
		}
		t.start(t.tries[id])
	}
}

func (t *target) start(y *try) {
	now := t.fleet.clock.Now()
	q := y.job.Request
	y.running = true
	y.rate = max(t.spec.Rate/t.slow, minServedRate)
	if t.plain {
		y.first = now.Add(serviceTime)
		y.ends = y.first
	} else {
		prefill := q.PromptTokens + y.job.Given
		if t.cache.touch(q.Template, q.SharedTokens) {
			prefill -= q.SharedTokens
			t.fleet.figures.hit(q.SharedTokens)
		}
		t.fleet.figures.prompted(q.SharedTokens)
		y.first = now.Add(seconds((float64(prefill)*prefillShare + 1) / y.rate))
		y.ends = y.first.Add(seconds(float64(q.Tokens-y.job.Given-1) / y.rate))
	}
	for n := firstPace; n < q.Tokens-y.job.Given && !t.plain; n *= 2 {
		t.fleet.clock.After(y.first.Sub(now)+seconds(float64(n-1)/y.rate)+t.spec.Link, func() {
			if !y.over {
				y.job.entry.router.RecordTokenRate(t.spec.ID, y.rate)
			}
		})
	}
	starts := t.starts
	t.fleet.clock.After(y.first.Sub(now), func() {
		if t.starts == starts && !t.lost {
			t.fleet.clock.After(t.spec.Link, func() { y.job.entry.firstToken(y) })
		}
	})
	t.fleet.clock.After(y.ends.Sub(now), func() {
		if t.starts == starts && !t.lost {
			t.finish(y)
		}
	})
}

func (t *target) finish(y *try) {
	now := t.fleet.clock.Now()
	delete(t.tries, y.job.Request.ID)
	t.queue.Finish(now, y.job.Request.ID)
	if !t.plain {
		t.fleet.figures.produced(y, now)
	}
	t.pump()
	t.answer(y, nil)
}

// answer sends the end of an attempt, with the load of that moment.
func (t *target) answer(y *try, err error) {
	load := t.load(t.fleet.clock.Now())
	t.fleet.clock.After(t.spec.Link, func() { y.job.entry.answered(y, err, load) })
}

// lose ends the target and its agent without a word.
func (t *target) lose() {
	now := t.fleet.clock.Now()
	t.lost = true
	t.lostAt = now
	for _, y := range t.tries {
		if y.running && !t.plain {
			t.fleet.figures.produced(y, now)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
