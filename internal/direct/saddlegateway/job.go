package saddlegateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// job is one call being served.
type job struct {
	*Gateway
	call      *Call
	w         Responder
	state     State
	route     *saddlerouting.Route
	pool      *saddlerouting.Pool
	workspace fireflysaddle.Workspace
	priority  int
	arrived   time.Time // by the clock of the configuration's age
	begun     time.Time
	deadline  time.Time

	prepaid atomic.Bool // a repeated sending was taken from the budget already
	sends   int         // times that it was sent
	runs    int         // times that it may have run
	headed  bool        // the answer's head was sent
	events  int         // events handed on
	lastID  string
	firstAt time.Time     // of the first event or byte
	lastAt  time.Time     // of the last event
	longest time.Duration // pause between events
	tried   []fireflysaddle.TargetID
	avoid   map[string]time.Time // addresses to pass over, and until when
	chain   []string             // addresses of the chain used last
}

// passOver leaves an engine out of the call's further chains for a while.
func (j *job) passOver(now time.Time, address string, d time.Duration) {
	if j.avoid == nil {
		j.avoid = map[string]time.Time{}
	}
	j.avoid[address] = now.Add(d)
}

// avoided returns the addresses that are left out now.
func (j *job) avoided(now time.Time) []string {
	var out []string
	for address, until := range j.avoid {
		if now.Before(until) {
			out = append(out, address)
		}
	}
	return out
}

// forward fills in a sending of the call.
func (j *job) forward(now time.Time) fireflysaddle.Forward {
	return fireflysaddle.Forward{
		Request:   j.call.ID,
		Method:    j.call.Method,
		Host:      j.call.Host,
		URI:       j.call.URI,
		Header:    j.call.Header,
		Body:      j.call.Body,
		Workspace: j.workspace,
		Budget:    j.deadline.Sub(now),
		Urgency:   j.priority,
	}
}

// maySend reports whether the call may be sent another time, and takes that from
// the budget. It logs why not.
func (j *job) maySend(ctx context.Context) bool {
	switch {
	case j.sends == 0 || j.prepaid.Swap(false):
	case j.sends >= maxSends:
		j.event(zerolog.InfoLevel).Int("sends", j.sends).Msg("request not sent again: too many sendings")
		return false
	case !j.again(ctx, j.pool.Group):
		countBudgetSpent.Add(1)
		j.event(zerolog.WarnLevel).Int("sends", j.sends).Msg("request not sent again: retry budget spent")
		return false
	}
	j.sends++
	return true
}

// prepay takes a repeated sending from the budget before the attempt that it is to
// follow is ended. It reports whether there is one.
func (j *job) prepay(ctx context.Context) bool {
	paid := j.again(ctx, j.pool.Group)
	if paid {
		j.prepaid.Store(true)
	}
	return paid
}

// event begins a log line about the call.
func (j *job) event(level zerolog.Level) *zerolog.Event {
	e := j.cfg.Log.WithLevel(level).Str("request", string(j.call.ID))
	if j.route != nil {
		e = e.Str("route", j.route.Name)
	}
	return e.Int64("after_ms", time.Since(j.begun).Milliseconds())
}

// refuse answers for this process, or breaks off an answer that has begun.
func (j *job) refuse(r Refusal) {
	if j.headed {
		countBroken.Add(1)
		j.finish("broken_off", r.Code, r.Message)
		j.w.Abort()
		return
	}
	countRefused.Add(1)
	j.finish("refused", r.Code, r.Message)
	j.w.Refuse(r)
}

// giveUp answers a call for which no target gave an answer.
func (j *job) giveUp(ctx context.Context, code fireflysaddle.Code, message string, retry time.Duration) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		j.gone()
	case j.runs == 0:
		j.refuse(Refusal{Code: code, Outcome: OutcomeNotRun, Message: message, RetryAfter: retry})
	case ctx.Err() != nil:
		j.refuse(Refusal{Code: fireflysaddle.CodeDeadline, Outcome: OutcomeTimedOut, Message: message})
	default:
		j.refuse(Refusal{Code: code, Outcome: OutcomeUnknown, Message: message})
	}
}

// gone notes that the caller has left.
func (j *job) gone() {
	countGone.Add(1)
	j.finish("caller_gone", "", "")
	j.w.Abort()
}

// finish logs how the call ended, with what decided it.
func (j *job) finish(outcome string, code fireflysaddle.Code, message string) {
	took := time.Since(j.begun)
	observe(j.route, took, j.firstAt.Sub(j.begun), !j.firstAt.IsZero())
	e := j.event(zerolog.InfoLevel).Str("outcome", outcome).
		Uint64("routing", j.state.Routing.GetVersion()).
		Int64("confirmed_ms_ago", j.arrived.Sub(j.state.Confirmed).Milliseconds()).
		Int("sends", j.sends).Int("runs", j.runs)
	if j.pool != nil {
		e = e.Str("group", string(j.pool.Group))
	}
	if !j.firstAt.IsZero() {
		e = e.Int64("first_ms", j.firstAt.Sub(j.begun).Milliseconds()).Int("events", j.events).
			Int64("longest_pause_ms", j.longest.Milliseconds())
	}
	if len(j.chain) > 0 {
		e = e.Strs("chain", j.chain)
	}
	if len(j.tried) > 0 {
		e = e.Str("target", string(j.tried[len(j.tried)-1]))
	}
	if code != "" {
		e = e.Str("code", string(code)).Str("reason", message)
	}
	e.Msg("request ended")
}
