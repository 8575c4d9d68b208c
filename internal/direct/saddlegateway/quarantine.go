package saddlegateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// harmlessEvents is the number of events after which the parts of a prompt have not ended
// the engine that answers.
const harmlessEvents = 3

// AddBlames adds to a heartbeat the prompt parts that are suspected to end engines, and the
// quarantines in force.
func (g *Gateway) AddBlames(now time.Time, m *saddlewire.Member) { g.blames.AddTo(now, m) }

// UpdateQuarantines takes over the quarantines of prompt parts.
func (g *Gateway) UpdateQuarantines(now time.Time, v *saddleview.View) {
	for _, q := range g.blames.Update(now, v) {
		g.cfg.Log.Warn().Strs("parts", q.GetParts()).Time("until", time.UnixMilli(q.GetUntilMs())).Msg("requests with prompt parts that end engines are refused")
	}
}

// quarantineRefusal returns a refusal if the parts of the call's prompt are in quarantine.
func (j *job) quarantineRefusal(now time.Time) *Refusal {
	until, refused := j.blames.Refused(now, j.call.PromptParts)
	if !refused {
		return nil
	}
	countQuarantined.Add(1)
	return &Refusal{Code: fireflysaddle.CodeQuarantined, Message: "engines end when they answer requests with these prompt parts", RetryAfter: until.Sub(now)}
}

// recordUnanswered records that the connection of an attempt at a stream ended, and has the
// engine probed. If the engine has ended and had not answered yet, the call may have ended it.
func (j *job) recordUnanswered() {
	j.cfg.Fleet.RequestProbe(time.Now(), j.streamAddress)
	if j.attemptEvents >= harmlessEvents {
		return
	}
	if j.blames.Interrupted(time.Now(), j.streamAddress, j.streamLifetime, j.call.PromptParts) {
		j.logEvent(zerolog.InfoLevel).Str("address", j.streamAddress).Strs("parts", partNames(j.call.PromptParts)).
			Msg("request interrupted by the end of its engine; its parts are suspected")
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

// recordHarmless records that an engine has answered the most recent attempt, and thus with
// the parts of the call's prompt.
func (j *job) recordHarmless() {
	if j.blames.Answered(time.Now(), j.attemptSentAt, j.call.PromptParts) {
		j.notifyBlames()
	}
}

func (g *Gateway) notifyBlames() {
	if g.cfg.BlamesChanged != nil {
		g.cfg.BlamesChanged()
	}
}
