package saddlegateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// harmlessEvents is the number of events after which the traits of a request have not ended
// the target that answers.
const harmlessEvents = 3

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
	out := make([]fireflysaddle.Trait, len(j.call.PromptParts))
	for i, p := range j.call.PromptParts {
		out[i] = fireflysaddle.Trait(p)
	}
	return out
}

// quarantineRefusal returns a refusal if the traits of the call are in quarantine.
func (j *job) quarantineRefusal(now time.Time) *Refusal {
	until, refused := j.blames.Refused(now, j.traits())
	if !refused {
		return nil
	}
	countQuarantined.Add(1)
	return &Refusal{Code: fireflysaddle.CodeQuarantined, Message: "targets end when they answer requests like this one", RetryAfter: until.Sub(now)}
}

// recordUnanswered records that the connection of an attempt at a stream ended, and has the
// engine probed. If the engine has ended and had not answered yet, the call may have ended it.
func (j *job) recordUnanswered() {
	j.cfg.Fleet.RequestProbe(time.Now(), j.streamAddress)
	if j.attemptEvents >= harmlessEvents {
		return
	}
	if j.blames.Interrupted(time.Now(), j.streamAddress, j.streamLifetime, j.traits()) {
		j.logEvent(zerolog.InfoLevel).Str("address", j.streamAddress).Strs("traits", traitNames(j.traits())).
			Msg("request interrupted by the end of its target; its traits are suspected")
		j.notifyBlames()
	}
}

// recordAttemptEvent counts the events of an attempt.
func (j *job) recordAttemptEvent() {
	j.attemptEvents++
	if j.attemptEvents == harmlessEvents {
		j.recordHarmless()
	}
}

// recordHarmless records that a target has answered the most recent attempt, and thus with the
// traits of the call.
func (j *job) recordHarmless() {
	if j.blames.Answered(time.Now(), j.attemptSentAt, j.traits()) {
		j.notifyBlames()
	}
}

func (g *Gateway) notifyBlames() {
	if g.cfg.BlamesChanged != nil {
		g.cfg.BlamesChanged()
	}
}
