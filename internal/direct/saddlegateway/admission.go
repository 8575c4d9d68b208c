package saddlegateway

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddleadmission"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddleforecast"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

const (
	// roomMaxAge is the age up to which the room of a pool is not computed again.
	roomMaxAge = 50 * time.Millisecond
	// maxSkips bounds the requests that are passed over in one turn because the engines that
	// they avoid leave no chain for them.
	maxSkips = 3
	// waitPatience is the share of the callers' patience for which a request waits for room.
	// The rest is left for its first event.
	waitPatience = 0.7
	// plannedStreamTime is how long streams are taken to last until some have ended.
	plannedStreamTime = 3 * time.Second
)

// admissions holds the admission to each pool whose routes differ in priority. It is safe for
// concurrent use.
type admissions struct {
	mu      sync.Mutex
	byGroup map[fireflysaddle.Group]*admission
}

// admission lets the streams to one pool begin in the order of its queue. While requests wait, a
// goroutine looks for chains for them.
type admission struct {
	gateway *Gateway
	group   fireflysaddle.Group

	mu       sync.Mutex
	queue    *saddleadmission.Queue
	waiting  map[saddleadmission.Ticket]*admittee
	last     saddleadmission.Ticket
	running  bool
	room     saddleadmission.Room
	roomTime time.Time
	forecast saddleforecast.FirstEvent
}

// admittee is a request that waits for its turn.
type admittee struct {
	job      *job
	ticket   saddleadmission.Ticket
	granted  chan grant // receives one value
	returned bool       // its caller came in the time for which room was kept
	waited   bool       // it did not begin at its arrival
	full     bool       // the usable engines hold all layers, as of the last search
}

// grant is a chain, or the reason why there is none.
type grant struct {
	chain   saddlefleet.Chain
	release func()
	reason  saddleadmission.Reason
	refusal *Refusal
	placed  bool // room is kept for the caller at the time of return
}

func (a *admissions) of(g *Gateway, group fireflysaddle.Group) *admission {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byGroup == nil {
		a.byGroup = map[fireflysaddle.Group]*admission{}
	}
	if a.byGroup[group] == nil {
		a.byGroup[group] = &admission{gateway: g, group: group, queue: saddleadmission.New(), waiting: map[saddleadmission.Ticket]*admittee{}}
	}
	return a.byGroup[group]
}

// length returns the number of requests that wait.
func (a *admission) length() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Len()
}

// awaitAdmittedChain selects a chain when it is the call's turn, see saddleadmission.
func (j *job) awaitAdmittedChain(ctx context.Context) (saddlefleet.Chain, func(), *Refusal) {
	now := time.Now()
	if refusal := j.refusePaused(now); refusal != nil {
		return saddlefleet.Chain{}, nil, refusal
	}
	a := j.admissions.of(j.Gateway, j.pool.Group)
	if rate, next, limited := j.cfg.Fleet.LimitedRate(now, j.pool); limited {
		if refusal := j.refuseBeyond(now, rate, next, a.length()); refusal != nil {
			return saddlefleet.Chain{}, nil, refusal
		}
	}
	w := a.join(now, j)
	select {
	case g := <-w.granted:
		return j.endWait(w, now, g)
	case <-ctx.Done():
	}
	a.leave(w)
	select {
	case g := <-w.granted: // at the same time
		return j.endWait(w, now, g)
	default:
		if refusal := j.refuseWaiting(ctx); refusal != nil {
			return saddlefleet.Chain{}, nil, refusal
		}
		return saddlefleet.Chain{}, nil, a.refused(w, saddleadmission.Decision{Reason: saddleadmission.ReasonExpired}).refusal
	}
}

// endWait logs how the wait of a request ended.
func (j *job) endWait(w *admittee, joined time.Time, g grant) (saddlefleet.Chain, func(), *Refusal) {
	countAdmission.Add(string(g.reason), 1)
	if g.placed {
		countReturns.Add("placed", 1)
	}
	if w.returned {
		countReturns.Add("kept", 1)
	}
	if g.refusal == nil && !w.waited {
		return g.chain, g.release, nil
	}
	e := j.logEvent(zerolog.InfoLevel).Str("workspace", string(j.workspace)).Int("rank", j.priority).
		Int("tokens", j.call.estimatedTokens()).Str("reason", string(g.reason)).Int64("waited_ms", time.Since(joined).Milliseconds()).Bool("full", w.full)
	if g.refusal != nil {
		e.Bool("placed", g.placed).Bool("returned", w.returned).Int64("elapsed_ms", j.elapsed().Milliseconds()).Int64("return_ms", g.refusal.RetryAfter.Milliseconds()).Msg("draft not admitted")
		return saddlefleet.Chain{}, nil, g.refusal
	}
	e.Msg("draft admitted after waiting")
	return g.chain, g.release, nil
}

// admissionRequest describes the call to the queue. first is the time after which its first
// event is expected once it is sent.
func (j *job) admissionRequest(now time.Time, ticket saddleadmission.Ticket, first time.Duration) saddleadmission.Request {
	r := saddleadmission.Request{
		Ticket: ticket, Rank: saddleadmission.Rank(j.priority), Route: j.route.Name, Workspace: j.workspace,
		Tokens: saddleadmission.Tokens(j.call.estimatedTokens()), Begun: j.sends > 0 || j.call.LastEventID != "",
		OnTime:      j.startTime.Add(max(0, j.route.FirstByteObjective-first)),
		Until:       now.Add(max(0, time.Duration(waitPatience*float64(j.route.CallerPatience()))-j.sinceLastEvent())),
		Deadline:    j.deadline,
		Fingerprint: j.fingerprint(),
	}
	if j.deadline.Before(r.Until) {
		r.Until = j.deadline
	}
	r.Elapsed = j.elapsed()
	return r
}

// elapsed returns how much of the route's time had passed for the caller when the call arrived.
func (j *job) elapsed() time.Duration {
	if j.call.Timeout <= 0 {
		return 0
	}
	return max(0, j.route.Timeout-j.call.Timeout)
}

// join adds a call to the queue, and looks for a chain for the next one.
func (a *admission) join(now time.Time, j *job) *admittee {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.last++
	w := &admittee{job: j, ticket: a.last, granted: make(chan grant, 1), full: true}
	decision := a.queue.Join(now, j.admissionRequest(now, w.ticket, a.forecast.Expect(now, j.call.PromptTokens)), a.roomAt(now, j.pool), rand.Float64())
	if decision.Refused {
		w.granted <- a.refused(w, decision)
		return w
	}
	w.returned = decision.Returned
	a.waiting[w.ticket] = w
	a.dispatch(now)
	if _, w.waited = a.waiting[w.ticket]; w.waited {
		countWaited.Add(1)
		if !a.running {
			a.running = true
			go a.run()
		}
	}
	return w
}

// leave removes a call whose caller has gone.
func (a *admission) leave(w *admittee) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting[w.ticket] == w {
		a.queue.Leave(w.ticket)
		delete(a.waiting, w.ticket)
		a.publishWaiting()
	}
}

// publishWaiting updates the counter of the tokens that wait. It must be called with mu held.
func (a *admission) publishWaiting() {
	n := new(expvar.Int)
	n.Set(int64(a.queue.Tokens()))
	waitingTokens.Set(string(a.group), n)
}

// run looks for chains until no request waits.
func (a *admission) run() {
	ticker := time.NewTicker(waitPollInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		a.mu.Lock()
		a.dispatch(now)
		a.running = len(a.waiting) > 0
		running := a.running
		a.mu.Unlock()
		if !running {
			return
		}
	}
}

// dispatch lets requests begin while there are chains for them, and refuses those that have
// waited as long as they may. It must be called with mu held.
func (a *admission) dispatch(now time.Time) {
	defer a.publishWaiting()
	var skipped []saddleadmission.Ticket
	for len(skipped) <= maxSkips && len(a.waiting) > 0 {
		ticket, reason, ok := a.queue.Next(now, a.roomAt(now, a.anyPool()), skipped...)
		if !ok {
			break
		}
		w := a.waiting[ticket]
		g := grant{reason: reason}
		g.chain, g.release, w.full, ok = w.job.pickOtherHead()
		if !ok {
			if len(w.job.avoidUntil) == 0 { // others find no chain either
				break
			}
			skipped = append(skipped, ticket)
			continue
		}
		a.queue.Begin(now, ticket)
		delete(a.waiting, ticket)
		w.granted <- g
	}
	for len(a.waiting) > 0 {
		ticket, decision, ok := a.queue.Expire(now, a.roomAt(now, a.anyPool()), rand.Float64())
		if !ok {
			return
		}
		w := a.waiting[ticket]
		delete(a.waiting, ticket)
		w.granted <- a.refused(w, decision)
	}
}

// anyPool returns the pool by the configuration of a request that waits.
func (a *admission) anyPool() *saddlerouting.Pool {
	for _, w := range a.waiting {
		return w.job.pool
	}
	return nil
}

// roomAt returns the room of the pool. It must be called with mu held.
func (a *admission) roomAt(now time.Time, pool *saddlerouting.Pool) saddleadmission.Room {
	if now.Sub(a.roomTime) < roomMaxAge {
		return a.room
	}
	room := a.gateway.cfg.Fleet.Room(now, pool)
	// An entry with few streams has its share of what becomes free all the same.
	streaming := max(room.Reserved, (room.Capacity-room.Free)/float64(room.Entries))
	a.roomTime = now
	a.room = saddleadmission.Room{
		Capacity: saddleadmission.Tokens(room.Capacity), Free: saddleadmission.Tokens(room.Free),
		Rate: streaming / plannedStreamTime.Seconds(), Entries: room.Entries,
	}
	return a.room
}

// refused returns the answer to a request that does not begin.
func (a *admission) refused(w *admittee, d saddleadmission.Decision) grant {
	refusal := &Refusal{Code: fireflysaddle.CodeOverloaded, Message: "no chain has capacity", RetryAfter: d.RetryAfter}
	switch {
	case !w.full:
		refusal = &Refusal{Code: fireflysaddle.CodeNoTarget, Message: "the available engines do not cover all layers", RetryAfter: noChainRetryAfter}
	case d.Reason == saddleadmission.ReasonNoTurn:
		refusal.Message = "no chain will have capacity in time"
	}
	return grant{reason: d.Reason, refusal: refusal, placed: d.Placed}
}
