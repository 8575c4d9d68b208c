package saddlegateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddleblame"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlebudget"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

const (
	// notReadyRetryAfter is the retry delay while an entry has no configuration or
	// cannot reach control. The election of a control leader takes about as long.
	notReadyRetryAfter = time.Second
	// maxDenyAge is the maximum age of the configuration's confirmation at which a
	// route or key is reported as unknown. If the confirmation is older, a newer
	// configuration that contains the route or key may exist.
	maxDenyAge = 2 * time.Second
	// configWait is how long a request waits for a configuration. Callers disconnect
	// after two seconds without an answer.
	configWait = 1200 * time.Millisecond
	// maxSends bounds how often one request is sent, including sends that the target
	// refused without running it.
	maxSends = 4
	// memoryRetryAfter is the retry delay while the memory does not suffice for one more
	// request. Requests end within seconds.
	memoryRetryAfter = time.Second
)

// Gateway forwards calls to targets. It is safe for concurrent use.
type Gateway struct {
	cfg       Config
	state     atomic.Pointer[State]
	limits    atomic.Pointer[Limits]
	shutdown  atomic.Pointer[shutdown] // nil: no shutdown requested
	leaving   context.Context          // ends when a shutdown begins
	leave     context.CancelFunc       // ends it
	ending    context.Context          // ends when the process is about to be killed
	end       context.CancelFunc       // ends it
	durations durationEstimator

	callsInProgress atomic.Int64
	answersBegun    atomic.Int64 // of the calls in progress

	mu            sync.Mutex    // guards stateChanged, retryBudgets, engineReports and endChecks
	stateChanged  chan struct{} // closed and replaced when the state is set
	retryBudgets  map[fireflysaddle.Group]*retryBudget
	engineReports map[string]*sharedReport
	attemptIndex  attemptIndex
	waitQueue     waitQueue
	admissions    admissions
	slowCentres   slowCentreDetector
	usualPause    pauseEstimator
	blames        *saddleblame.Tracker
	peers         peers
	endChecks     map[string]time.Time // latest checks whether targets have ended, by address
}

// New returns a gateway without a configuration.
func New(cfg Config) *Gateway {
	if cfg.Budget == nil {
		cfg.Budget = saddlebudget.New(saddlebudget.DefaultMemory)
	}
	g := &Gateway{cfg: cfg, stateChanged: make(chan struct{}), retryBudgets: map[fireflysaddle.Group]*retryBudget{}, engineReports: map[string]*sharedReport{}, blames: saddleblame.New(), endChecks: map[string]time.Time{}, durations: durationEstimator{classes: map[callClass]*classDurations{}}}
	g.leaving, g.leave = context.WithCancel(context.Background())
	g.ending, g.end = context.WithCancel(context.Background())
	g.state.Store(&State{})
	g.SetLimits(cfg.Limits)
	return g
}

// SetState sets the routing configuration and the time of its confirmation, and wakes the
// requests that wait for it.
func (g *Gateway) SetState(s State) {
	g.state.Store(&s)
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.stateChanged)
	g.stateChanged = make(chan struct{})
}

// SetLimits replaces the limits. They apply from the next decision on, also to requests in
// progress.
func (g *Gateway) SetLimits(l Limits) { g.limits.Store(&l) }

// State returns the routing configuration in use.
func (g *Gateway) State() State { return *g.state.Load() }

// Serve answers a call and returns once the answer has ended. clock returns the
// current time, which is compared with State.Confirmed to obtain the age of the
// configuration.
func (g *Gateway) Serve(ctx context.Context, clock func() time.Time, call *Call, w Responder) {
	j := &job{Gateway: g, call: call, responder: w, startTime: time.Now()}
	countCalls.Add(1)
	leave, ok := g.cfg.Budget.Admit()
	if !ok {
		j.refuse(Refusal{Code: fireflysaddle.CodeOverloaded, Message: "the memory does not suffice for one more request", RetryAfter: memoryRetryAfter})
		return
	}
	defer leave()
	g.callsInProgress.Add(1)
	defer g.callsInProgress.Add(-1)
	ctx, release := j.endWithProcess(ctx)
	defer release()
	route, tenant, refusal := j.awaitAdmission(ctx, clock)
	if refusal != nil {
		j.route = route
		j.refuse(*refusal)
		return
	}
	j.route = route
	if tenant != nil {
		j.workspace = tenant.Name
		j.priority = tenant.Priority
	} else {
		j.priority = route.Priority
	}
	j.pool = j.state.Routing.Pools[route.Pick(rand.Float64())]
	if rank, ok := j.state.Routing.Rank(j.pool.Group, route, tenant); ok {
		j.priority, j.ranked = rank, true
	}
	j.deadline = j.startTime.Add(route.Timeout)
	if call.Timeout > 0 && call.Timeout < route.Timeout {
		j.deadline = j.startTime.Add(call.Timeout)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	g.recordFirstSend(j.pool.Group)
	if route.Kind == saddlerouting.Streaming {
		j.serveStream(ctx)
		return
	}
	j.servePlain(ctx)
}

// SlowCentres returns the data centres whose streams are slow.
func (g *Gateway) SlowCentres(now time.Time) []string { return g.slowCentres.list(now) }

// admit returns the route and the workspace (its Tenant) of a call, or the reason for
// refusing it. The Tenant is nil if no API key is required.
func (g *Gateway) admit(now time.Time, s State, call *Call) (*saddlerouting.Route, *saddlerouting.Tenant, *Refusal) {
	if s.Routing == nil {
		return nil, nil, notReady("no configuration has been received yet")
	}
	age := now.Sub(s.Confirmed)
	route := s.Routing.Match(call.Host, call.Path)
	if route == nil {
		if age > maxDenyAge {
			return nil, nil, notReady("the configuration may be out of date")
		}
		return nil, nil, &Refusal{Code: fireflysaddle.CodeNotFound, Message: "no route matches this host and path"}
	}
	if route.Public || !s.Routing.RequiresKey() {
		return route, nil, nil
	}
	if keyLease := g.limits.Load().KeyLease; keyLease > 0 && age > keyLease {
		return route, nil, notReady("API keys cannot be verified: the configuration has not been confirmed within the key lease")
	}
	tenant := s.Routing.Tenant(call.Key)
	if tenant == nil {
		if age > maxDenyAge {
			return route, nil, notReady("the configuration may be out of date")
		}
		return route, nil, &Refusal{Code: fireflysaddle.CodeUnauthorized, Message: "unknown API key"}
	}
	return route, tenant, nil
}

// awaitAdmission admits the call. It waits for a configuration that is recent enough, up
// to configWait and at most half of the caller's time-out: a process that has just
// started receives a configuration within one or two seconds. It does not wait during a shutdown.
func (j *job) awaitAdmission(ctx context.Context, clock func() time.Time) (*saddlerouting.Route, *saddlerouting.Tenant, *Refusal) {
	wait := configWait
	if j.call.Timeout > 0 {
		wait = min(wait, j.call.Timeout/2)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		j.mu.Lock()
		changed := j.stateChanged
		j.mu.Unlock()
		j.state = j.State()
		j.admissionTime = clock()
		route, tenant, refusal := j.admit(j.admissionTime, j.state, j.call)
		if refusal == nil || refusal.Code != fireflysaddle.CodeNoMajority {
			return route, tenant, refusal
		}
		if j.leaving.Err() != nil { // another entry may know
			return route, tenant, &Refusal{Code: fireflysaddle.CodeLeaving, Message: leavingMessage, RetryAfter: shutdownRetryAfter}
		}
		select {
		case <-changed:
		case <-j.leaving.Done():
		case <-timer.C:
			return route, tenant, refusal
		case <-ctx.Done():
			return route, tenant, refusal
		}
	}
}

func notReady(message string) *Refusal {
	return &Refusal{Code: fireflysaddle.CodeNoMajority, Message: message, RetryAfter: notReadyRetryAfter}
}
