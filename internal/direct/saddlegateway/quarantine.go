package saddlegateway

import (
	"context"
	"errors"
	"maps"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// harmlessEvents is the number of events after which the traits of a request have not ended
// the target that answers.
const harmlessEvents = 3

const (
	// endCheckTimeout bounds the time in which a target that is checked must accept or refuse
	// a connection.
	endCheckTimeout = 250 * time.Millisecond
	// endCheckInterval is the time between two checks of a target, which many requests may
	// cause at once.
	endCheckInterval = 100 * time.Millisecond
)

// AddBlames adds to a heartbeat the traits of requests that are suspected to end targets, and
// the quarantines in force.
func (g *Gateway) AddBlames(now time.Time, m *saddlewire.Member) { g.blames.AddTo(now, m) }

// UpdateQuarantines takes over the quarantines of requests.
func (g *Gateway) UpdateQuarantines(now time.Time, v *saddleview.View) {
	for _, q := range g.blames.Update(now, v) {
		g.cfg.Log.Warn().Strs("traits", q.GetTraits()).Time("until", time.UnixMilli(q.GetUntilMs())).Msg("requests with traits that end targets are refused")
	}
}

// traits returns what the call may have in common with others.
func (j *job) traits() []fireflysaddle.Trait {
	var out []fireflysaddle.Trait
	for _, p := range j.call.PromptParts {
		out = append(out, fireflysaddle.Trait(p))
	}
	return append(out, fireflysaddle.IdenticalRequests(j.fingerprint()))
}

// quarantineRefusal returns a refusal if the traits of the call are in quarantine.
func (j *job) quarantineRefusal(now time.Time) *Refusal {
	if j.blames.Idle() {
		return nil
	}
	until, refused := j.blames.Refused(now, j.traits())
	if !refused {
		return nil
	}
	countQuarantined.Add(1)
	return &Refusal{Code: fireflysaddle.CodeQuarantined, Message: "targets end when they answer requests like this one", RetryAfter: until.Sub(now)}
}

// recordUnanswered records that the connection of an attempt ended, and has the target probed.
// If the target has ended and had not answered yet, the call may have ended it.
func (j *job) recordUnanswered() {
	if j.pool.Model != nil {
		j.cfg.Fleet.RequestProbe(time.Now(), j.attemptAddress)
	} else {
		go j.checkEnded(time.Now(), j.attemptAddress)
	}
	if j.attemptEvents >= harmlessEvents {
		return
	}
	if j.blames.Interrupted(time.Now(), j.attemptSentAt, j.attemptAddress, j.attemptLifetime, j.traits()) {
		j.logEvent(zerolog.InfoLevel).Str("address", j.attemptAddress).Strs("traits", traitNames(j.traits())).
			Msg("request interrupted by the end of its target; its traits are suspected")
		j.notifyBlames()
	}
}

// recordAttemptEvent counts the events of an attempt.
func (j *job) recordAttemptEvent() {
	j.attemptEvents++
	if j.attemptEvents == 1 {
		j.endReading()
	}
	if j.attemptEvents == harmlessEvents {
		j.recordHarmless()
	}
}

// recordHarmless records that a target has answered the most recent attempt, and thus with the
// traits of the call.
func (j *job) recordHarmless() {
	if !j.blames.Idle() && j.blames.Answered(time.Now(), j.attemptSentAt, j.traits()) {
		j.notifyBlames()
	}
}

// checkEnded finds out whether a plain service, which has no report that could be asked for,
// still accepts connections.
func (g *Gateway) checkEnded(now time.Time, address string) {
	g.mu.Lock()
	due := now.Sub(g.endChecks[address]) >= endCheckInterval
	if due {
		maps.DeleteFunc(g.endChecks, func(_ string, at time.Time) bool { return now.Sub(at) >= endCheckInterval })
		g.endChecks[address] = now
	}
	g.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	err := g.cfg.Forwarder.Dial(ctx, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.cfg.Fleet.MarkDown(time.Now(), address, err.Error())
		g.recordEnded(time.Now(), address)
	}
}

// recordEnded records that the target at an address has ended.
func (g *Gateway) recordEnded(now time.Time, address string) {
	if g.blames.TargetEnded(now, address) {
		g.cfg.Log.Warn().Str("address", address).Msg("target ended; the traits of the requests that it was to answer are suspected")
		g.notifyBlames()
	}
}

func (g *Gateway) notifyBlames() {
	if g.cfg.BlamesChanged != nil {
		g.cfg.BlamesChanged()
	}
}
