package saddlesim

import (
	"errors"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Limits of the attempts of a request, equal to those of the entry daemon.
const (
	maxAttempts        = 8
	targetWaitTimeout  = 5 * time.Second
	targetPollInterval = 20 * time.Millisecond
)

// entry simulates an entry daemon with the production router and retry budget.
type entry struct {
	fleet    *Fleet
	router   *saddleroute.Router
	budget   *saddleretry.Budget
	inFlight map[fireflysaddle.TargetID]int
}

func newEntry(f *Fleet, chooser fireflysaddle.Chooser) *entry {
	return &entry{
		fleet:    f,
		router:   saddleroute.New(chooser),
		budget:   saddleretry.NewBudget(saddleretry.DefaultShare, saddleretry.DefaultReserve),
		inFlight: map[fireflysaddle.TargetID]int{},
	}
}

func (e *entry) requirements(j *Job) saddleroute.Requirements {
	requirements := saddleroute.Requirements{
		Group:    engineGroup,
		Kind:     fireflysaddle.KindEngine,
		Work:     fireflysaddle.Work{PromptTokens: j.Request.PromptTokens, MaxTokens: j.Request.MaxTokens - j.Delivered},
		Prefixes: j.Request.Prefixes,
		Avoid:    j.avoid,
	}
	if j.Request.ServiceCall {
		requirements.Group, requirements.Kind = serviceGroup, fireflysaddle.KindService
	}
	return requirements
}

// submit sends the first attempt of a job.
func (e *entry) submit(j *Job) {
	j.entry = e
	j.sentAt = e.fleet.clock.Now()
	j.avoid = map[fireflysaddle.TargetID]bool{}
	e.budget.RecordFirstAttempt()
	e.fleet.metrics.countRequest()
	e.startAttempt(j)
}

// startAttempt chooses a target and sends the job there. If no target is
// available, it refuses a job that has had no attempt yet. A retry polls for a
// target until waitUntil and is refused after that. While the retry polls, targets
// that failed or refused the job earlier are allowed again.
func (e *entry) startAttempt(j *Job) {
	now := e.fleet.clock.Now()
	stage, ok := e.chooseStage(now, j)
	if !ok {
		clear(j.avoid)
		if j.waitUntil.IsZero() || !now.Before(j.waitUntil) {
			e.endJob(j, Refused)
			return
		}
		e.fleet.clock.AfterFunc(targetPollInterval, func() { e.startAttempt(j) })
		return
	}
	j.Attempts++
	e.fleet.metrics.countAttempt()
	e.inFlight[stage.Target]++
	t := e.fleet.byID[stage.Target]
	a := &attempt{job: j, stage: stage, sentTo: t, sentAt: now}
	e.fleet.clock.AfterFunc(t.spec.LinkLatency, func() { t.receive(a) })
	e.watchSilence(a)
}

func (e *entry) chooseStage(now time.Time, j *Job) (saddlechain.Stage, bool) {
	if j.Request.ServiceCall {
		return e.router.ChooseService(now, e.fleet.view, e.requirements(j))
	}
	chain, ok := e.router.ChooseChain(now, e.fleet.view, e.requirements(j))
	if !ok {
		return saddlechain.Stage{}, false
	}
	return chain.Head(), true
}

// watchSilence fails an attempt when its target has sent nothing for the call
// silence timeout. A target sends heartbeats until it is lost. The timeout
// therefore runs from the loss, or from the sending of the attempt if the attempt
// was sent after the loss. A target that has restarted sends nothing for the
// attempts of its earlier incarnation.
func (e *entry) watchSilence(a *attempt) {
	e.fleet.clock.AfterFunc(e.fleet.cfg.CallSilenceTimeout, func() {
		now := e.fleet.clock.Now()
		unreachable := a.sentTo.lost || a.sentTo.incarnation != uint64(a.stage.Incarnation)
		silentSince := laterOf(a.sentTo.lostAt, a.sentAt)
		switch {
		case a.done:
		case unreachable && now.Sub(silentSince) >= e.fleet.cfg.CallSilenceTimeout:
			e.endAttempt(a, &fireflysaddle.TargetError{Target: a.stage.Target, Err: errCallSilence}, nil)
		case unreachable:
			e.fleet.clock.AfterFunc(silentSince.Add(e.fleet.cfg.CallSilenceTimeout).Sub(now), func() {
				if !a.done {
					e.endAttempt(a, &fireflysaddle.TargetError{Target: a.stage.Target, Err: errCallSilence}, nil)
				}
			})
		default:
			e.watchSilence(a)
		}
	})
}

var errCallSilence = errors.New("no event from the agent within the silence timeout")

// recordFirstToken records the latency of the first token of a job. If an earlier
// attempt has delivered tokens, it instead records the time since the latest of
// these tokens as an inter-token latency.
func (e *entry) recordFirstToken(a *attempt) {
	now := e.fleet.clock.Now()
	j := a.job
	if a.done || j.ended {
		return
	}
	if j.FirstTokenLatency == 0 {
		j.FirstTokenLatency = now.Sub(j.sentAt)
	} else if !j.lastTokenAt.IsZero() {
		e.fleet.metrics.recordInterTokenLatency(now.Sub(j.lastTokenAt), 1)
	}
}

// endAttempt records the result of an attempt and ends or retries its job.
func (e *entry) endAttempt(a *attempt, err error, load *saddlewire.Load) {
	if a.done {
		return
	}
	a.done = true
	now := e.fleet.clock.Now()
	e.inFlight[a.stage.Target]--
	result := saddleroute.Result{Outcome: saddleretry.Succeeded}
	if load != nil {
		e.fleet.delayReport(func() { e.router.RecordLoad(e.fleet.clock.Now(), a.stage.Target, load) })
	}
	generated := a.generatedTokens(now.Add(-a.sentTo.spec.LinkLatency))
	var refused *fireflysaddle.RefusedError
	switch {
	case err == nil:
		result.Rate = a.observedRate(generated)
	case errors.As(err, &refused):
		result.Outcome = saddleretry.Neutral
	default:
		result.Outcome = saddleretry.Failed
	}
	e.router.RecordResult(now, a.stage, result)
	if generated > 0 && !a.job.Request.ServiceCall {
		e.fleet.metrics.recordInterTokenLatency(seconds(1/a.rate), generated-1)
		a.job.lastTokenAt = a.firstTokenAt.Add(seconds(float64(generated-1) / a.rate)).Add(a.sentTo.spec.LinkLatency)
		a.job.Delivered += generated
	}
	if err == nil {
		e.endJob(a.job, Answered)
		return
	}
	e.retry(a, refused)
}

// observedRate returns the tokens per second after the first token, or 0 if fewer
// than two tokens were generated.
func (a *attempt) observedRate(generated int) float64 {
	if generated < 2 || !a.endsAt.After(a.firstTokenAt) {
		return 0
	}
	return float64(generated-1) / a.endsAt.Sub(a.firstTokenAt).Seconds()
}

// retry sends a job again if the limit of attempts and the retry budget allow it,
// otherwise it ends the job. After an overload refusal, the job does not wait for
// a target to become available.
func (e *entry) retry(a *attempt, refused *fireflysaddle.RefusedError) {
	j := a.job
	j.Affected = j.Affected || refused == nil
	j.avoid[a.stage.Target] = true
	if j.Attempts >= maxAttempts || !e.budget.TakeRetry() {
		if refused != nil {
			e.endJob(j, Refused)
			return
		}
		e.endJob(j, Failed)
		return
	}
	j.waitUntil = e.fleet.clock.Now()
	if refused == nil || refused.Code != fireflysaddle.CodeOverloaded {
		j.waitUntil = j.waitUntil.Add(targetWaitTimeout)
	}
	e.startAttempt(j)
}

func (e *entry) endJob(j *Job, outcome Outcome) {
	if j.ended {
		return
	}
	j.ended = true
	e.fleet.metrics.recordOutcome(j, outcome, e.fleet.clock.Now())
	if j.onDone != nil {
		j.onDone(j, outcome)
	}
}
