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

// The bounds of attempts, as entries have them.
const (
	maxAttempts = 8
	patience    = 5 * time.Second
	pollTarget  = 20 * time.Millisecond
)

// entry runs the real router and retry budget of one entry.
type entry struct {
	fleet  *Fleet
	router *saddleroute.Router
	budget *saddleretry.Budget
	busy   map[fireflysaddle.TargetID]int
}

func newEntry(f *Fleet, chooser fireflysaddle.Chooser) *entry {
	return &entry{
		fleet:  f,
		router: saddleroute.New(chooser),
		budget: saddleretry.NewBudget(saddleretry.DefaultShare, saddleretry.DefaultReserve),
		busy:   map[fireflysaddle.TargetID]int{},
	}
}

func (e *entry) need(j *Job) saddleroute.Requirements {
	need := saddleroute.Requirements{
		Group:    engineGroup,
		Kind:     fireflysaddle.KindEngine,
		Work:     fireflysaddle.Work{PromptTokens: j.Request.PromptTokens, MaxTokens: j.Request.MaxTokens - j.Given},
		Prefixes: j.Request.Prefixes,
		Avoid:    j.avoid,
	}
	if j.Request.Plain {
		need.Group, need.Kind = serviceGroup, fireflysaddle.KindService
	}
	return need
}

// submit begins a job.
func (e *entry) submit(j *Job) {
	j.entry = e
	j.sent = e.fleet.clock.Now()
	j.avoid = map[fireflysaddle.TargetID]bool{}
	e.budget.RecordFirstAttempt()
	e.fleet.figures.request()
	e.attempt(j)
}

// attempt picks a target and sends the job there. A first attempt without a
// target is refused; a later one waits a while.
func (e *entry) attempt(j *Job) {
	now := e.fleet.clock.Now()
	stage, ok := e.pick(now, j)
	if !ok {
		clear(j.avoid)
		if j.until.IsZero() || !now.Before(j.until) {
			e.end(j, Refused)
			return
		}
		e.fleet.clock.After(pollTarget, func() { e.attempt(j) })
		return
	}
	j.Attempts++
	e.fleet.figures.attempt()
	e.busy[stage.Target]++
	t := e.fleet.byID[stage.Target]
	y := &try{job: j, stage: stage, at: t, sent: now}
	e.fleet.clock.After(t.spec.Link, func() { t.receive(y) })
	e.watch(y)
}

func (e *entry) pick(now time.Time, j *Job) (saddlechain.Stage, bool) {
	if j.Request.Plain {
		return e.router.ChooseService(now, e.fleet.view, e.need(j))
	}
	chain, ok := e.router.ChooseChain(now, e.fleet.view, e.need(j))
	if !ok {
		return saddlechain.Stage{}, false
	}
	return chain.Head(), true
}

// watch fails an attempt one silence time after its target last sent
// something. Targets send heartbeats until they are lost.
func (e *entry) watch(y *try) {
	e.fleet.clock.After(e.fleet.cfg.Silence, func() {
		now := e.fleet.clock.Now()
		silent := y.at.lost || y.at.starts != uint64(y.stage.Incarnation)
		heard := later(y.at.lostAt, y.sent)
		switch {
		case y.over:
		case silent && now.Sub(heard) >= e.fleet.cfg.Silence:
			e.answered(y, &fireflysaddle.TargetError{Target: y.stage.Target, Err: errSilent}, nil)
		case silent:
			e.fleet.clock.After(heard.Add(e.fleet.cfg.Silence).Sub(now), func() {
				if !y.over {
					e.answered(y, &fireflysaddle.TargetError{Target: y.stage.Target, Err: errSilent}, nil)
				}
			})
		default:
			e.watch(y)
		}
	})
}

var errSilent = errors.New("the agent fell silent")

func (e *entry) firstToken(y *try) {
	now := e.fleet.clock.Now()
	j := y.job
	if y.over || j.ended {
		return
	}
	if j.First == 0 {
		j.First = now.Sub(j.sent)
	} else if !j.last.IsZero() {
		e.fleet.figures.gap(now.Sub(j.last), 1)
	}
}

// answered takes in the end of an attempt.
func (e *entry) answered(y *try, err error, load *saddlewire.Load) {
	if y.over {
		return
	}
	y.over = true
	now := e.fleet.clock.Now()
	e.busy[y.stage.Target]--
	result := saddleroute.Result{Outcome: saddleretry.Succeeded}
	if load != nil {
		e.fleet.deliver(func() { e.router.RecordLoad(e.fleet.clock.Now(), y.stage.Target, load) })
	}
	made := y.made(now.Add(-y.at.spec.Link))
	var refused *fireflysaddle.RefusedError
	switch {
	case err == nil:
		result.Rate = y.seenRate(made)
	case errors.As(err, &refused):
		result.Outcome = saddleretry.Neutral
	default:
		result.Outcome = saddleretry.Failed
	}
	e.router.RecordResult(now, y.stage, result)
	if made > 0 && !y.job.Request.Plain {
		e.fleet.figures.gap(seconds(1/y.rate), made-1)
		y.job.last = y.first.Add(seconds(float64(made-1) / y.rate)).Add(y.at.spec.Link)
		y.job.Given += made
	}
	if err == nil {
		e.end(y.job, Answered)
		return
	}
	e.again(y, refused)
}

// seenRate returns the tokens a second from the first token on.
func (y *try) seenRate(made int) float64 {
	if made < 2 || !y.ends.After(y.first) {
		return 0
	}
	return float64(made-1) / y.ends.Sub(y.first).Seconds()
}

// again sends a job anew where it may be.
func (e *entry) again(y *try, refused *fireflysaddle.RefusedError) {
	j := y.job
	j.Affected = j.Affected || refused == nil
	j.avoid[y.stage.Target] = true
	if j.Attempts >= maxAttempts || !e.budget.TakeRetry() {
		if refused != nil {
			e.end(j, Refused)
			return
		}
		e.end(j, Failed)
		return
	}
	j.until = e.fleet.clock.Now()
	if refused == nil || refused.Code != fireflysaddle.CodeOverloaded {
		j.until = j.until.Add(patience)
	}
	e.attempt(j)
}

func (e *entry) end(j *Job, how Ending) {
	if j.ended {
		return
	}
	j.ended = true
	e.fleet.figures.end(j, how, e.fleet.clock.Now())
	if j.onDone != nil {
		j.onDone(j, how)
	}
}
