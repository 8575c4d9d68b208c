package saddlesim

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/agent/saddlequeue"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddleload"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	prefillCost           = 0.02                  // time of a prompt token relative to a generated one
	serviceLatency        = 50 * time.Millisecond // processing time of a service call
	serviceSlots          = 4
	serviceLinkLatency    = time.Millisecond
	engineGroup           = "drafting-models"
	serviceGroup          = "filing-desk"
	modelLayers           = 1    // each engine holds the whole model
	minRate               = 1e-6 // lowest token rate of an attempt, in tokens per second
	firstRateReportTokens = 8    // an entry records the token rate of an attempt after this many tokens and each time their number doubles
)

// target simulates an engine or a plain service with the production queue of
// its agent.
type target struct {
	fleet       *Fleet
	spec        saddleload.Engine
	isService   bool
	queue       fireflysaddle.Admitter
	prefixCache *prefixCache
	attempts    map[fireflysaddle.RequestID]*attempt
	lost        bool
	lostAt      time.Time
	slowdown    float64 // divisor of the token rate
	cacheEvents int     // number of cache events so far
	incarnation uint64  // incarnation of the agent
	registered  bool    // the target is in the member list of control
}

func newTarget(f *Fleet, spec saddleload.Engine, isService bool) *target {
	t := &target{fleet: f, spec: spec, isService: isService, slowdown: 1, registered: true}
	t.restart()
	return t
}

// restart begins a new incarnation with an empty queue and an empty cache.
func (t *target) restart() {
	t.incarnation++
	t.lost = false
	t.queue = saddlequeue.New(t.spec.Slots, t.fleet.cfg.MaxQueueWait, t.spec.Rate)
	t.prefixCache = newPrefixCache(t.spec.CacheLimit)
	if t.fleet.cfg.CacheEventDelay > 0 {
		t.prefixCache.onEvict = t.publishEviction
	}
	t.attempts = map[fireflysaddle.RequestID]*attempt{}
}

// publishEviction sends an eviction event to the entries, unless the configuration
// drops this event. When the entries receive the next event after a dropped one, they
// detect the gap and invalidate their prefix hints for the target before they record
// the eviction.
func (t *target) publishEviction(template, tokens int) {
	t.cacheEvents++
	dropPeriod := t.fleet.cfg.CacheEventDropPeriod
	if dropPeriod > 0 && t.cacheEvents%dropPeriod == 0 {
		return
	}
	gap := dropPeriod > 0 && t.cacheEvents > 1 && (t.cacheEvents-1)%dropPeriod == 0
	t.fleet.clock.AfterFunc(t.spec.LinkLatency+t.fleet.cfg.CacheEventDelay, func() {
		for _, e := range t.fleet.entries {
			if gap {
				e.router.InvalidatePrefixes(t.spec.ID)
			}
			e.router.RecordEviction(t.spec.ID, saddleload.Prefixes(template, tokens))
		}
	})
}

// member returns the target's record in the member list of control.
func (t *target) member() *saddlewire.Member {
	group, kind := engineGroup, fireflysaddle.KindEngine
	if t.isService {
		group, kind = serviceGroup, fireflysaddle.KindService
	}
	return &saddlewire.Member{
		Node:        "agent-" + string(t.spec.ID),
		Incarnation: t.incarnation,
		Address:     string(t.spec.ID),
		Target: &saddlewire.Target{
			Id: string(t.spec.ID), Kind: string(kind), Group: group, Version: "1",
			Layers: &saddlewire.Layers{From: 0, To: modelLayers, Of: modelLayers},
			Slots:  uint32(t.spec.Slots), Rate: t.spec.Rate,
			LinkMs: float64(t.spec.LinkLatency) / float64(time.Millisecond),
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

// receive queues or refuses an attempt. A lost target never answers.
func (t *target) receive(a *attempt) {
	if t.lost {
		return
	}
	now := t.fleet.clock.Now()
	req := a.job.Request
	demand := fireflysaddle.Demand{
		Request:   req.ID,
		Workspace: req.Workspace,
		Weight:    1,
		Tokens:    max(int(float64(req.PromptTokens)*prefillCost), 0) + req.MaxTokens - a.job.Delivered,
	}
	if req.Timeout > 0 {
		demand.Deadline = a.job.sentAt.Add(req.Timeout)
	}
	if err := t.queue.Offer(now, demand); err != nil {
		t.reply(a, err)
		return
	}
	t.attempts[req.ID] = a
	t.dispatch()
}

// dispatch refuses queued attempts that are predicted to miss their deadline and
// starts other queued attempts in the free slots.
func (t *target) dispatch() {
	now := t.fleet.clock.Now()
	for _, id := range t.queue.RemoveExpired(now) {
		a := t.attempts[id]
		delete(t.attempts, id)
		t.reply(a, &fireflysaddle.RefusedError{Code: fireflysaddle.CodeDeadline, RetryAfter: t.queue.EstimatedWait(now)})
	}
	for {
		id, ok := t.queue.Next(now)
		if !ok {
			return
		}
		t.start(t.attempts[id])
	}
}

// start gives an attempt a slot. It schedules the end of the attempt and the times
// at which the entry records the token rate and the first token.
func (t *target) start(a *attempt) {
	now := t.fleet.clock.Now()
	req := a.job.Request
	a.running = true
	a.rate = max(t.spec.Rate/t.slowdown, minRate)
	if t.isService {
		a.firstTokenAt = now.Add(serviceLatency)
		a.endsAt = a.firstTokenAt
	} else {
		prefill := req.PromptTokens + a.job.Delivered
		if t.prefixCache.touch(req.Template, req.SharedPrefixTokens) {
			prefill -= req.SharedPrefixTokens
			t.fleet.metrics.countHitTokens(req.SharedPrefixTokens)
		}
		t.fleet.metrics.countSharedTokens(req.SharedPrefixTokens)
		a.firstTokenAt = now.Add(seconds((float64(prefill)*prefillCost + 1) / a.rate))
		a.endsAt = a.firstTokenAt.Add(seconds(float64(req.OutputTokens-a.job.Delivered-1) / a.rate))
	}
	for n := firstRateReportTokens; n < req.OutputTokens-a.job.Delivered && !t.isService; n *= 2 {
		t.fleet.clock.AfterFunc(a.firstTokenAt.Sub(now)+seconds(float64(n-1)/a.rate)+t.spec.LinkLatency, func() {
			if !a.done {
				a.job.entry.router.RecordTokenRate(t.spec.ID, a.rate)
			}
		})
	}
	incarnation := t.incarnation
	t.fleet.clock.AfterFunc(a.firstTokenAt.Sub(now), func() {
		if t.incarnation == incarnation && !t.lost {
			t.fleet.clock.AfterFunc(t.spec.LinkLatency, func() { a.job.entry.recordFirstToken(a) })
		}
	})
	t.fleet.clock.AfterFunc(a.endsAt.Sub(now), func() {
		if t.incarnation == incarnation && !t.lost {
			t.finish(a)
		}
	})
}

func (t *target) finish(a *attempt) {
	now := t.fleet.clock.Now()
	delete(t.attempts, a.job.Request.ID)
	t.queue.Finish(now, a.job.Request.ID)
	if !t.isService {
		t.fleet.metrics.countGeneratedTokens(a, now)
	}
	t.dispatch()
	t.reply(a, nil)
}

// reply sends the result of an attempt and the current load to the entry.
func (t *target) reply(a *attempt, err error) {
	load := t.load(t.fleet.clock.Now())
	t.fleet.clock.AfterFunc(t.spec.LinkLatency, func() { a.job.entry.endAttempt(a, err, load) })
}

// fail stops the target and its agent without notice to the entries.
func (t *target) fail() {
	now := t.fleet.clock.Now()
	t.lost = true
	t.lostAt = now
	for _, a := range t.attempts {
		if a.running && !t.isService {
			t.fleet.metrics.countGeneratedTokens(a, now)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
