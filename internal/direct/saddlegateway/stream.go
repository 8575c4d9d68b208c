package saddlegateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlesse"
)

const (
	// roomWait is how long a draft waits for a chain with room before it is
	// refused; its caller leaves after two seconds without an event.
	roomWait = 1200 * time.Millisecond
	// avoidDown and avoidFull are for how long a request passes over an engine that
	// does not work, or that refused it.
	avoidDown = 10 * time.Second
	avoidFull = 200 * time.Millisecond
	// tokenTime is the time between tokens that a draft is reckoned with when the
	// process is to stop: about a third more than the usual.
	tokenTime = 17 * time.Millisecond
	// leaveMargin is what is left of the process's time when a draft is to have
	// ended.
	leaveMargin = 300 * time.Millisecond
	// retryLeaving is when to come back to another process.
	retryLeaving = 20 * time.Millisecond
	// retryNoRoom and retryNoChain are when to come back: drafts end within
	// seconds, and an engine that is lost is replaced within seconds.
	retryNoRoom  = time.Second
	retryNoChain = 2 * time.Second
)

// stream serves a call that is answered by events.
func (j *job) stream(ctx context.Context) {
	j.lastID = j.call.LastEventID
	if j.outlasts(time.Now()) {
		j.refuse(Refusal{Code: fireflysaddle.CodeLeaving, Message: "the process stops before the draft would end", RetryAfter: retryLeaving})
		return
	}
	for {
		chain, done, refusal := j.pickChain(ctx)
		if refusal != nil {
			j.giveUp(ctx, refusal.Code, refusal.Message, refusal.RetryAfter)
			return
		}
		if !j.maySend(ctx) {
			done()
			j.giveUp(ctx, fireflysaddle.CodeTargetFailed, "no further attempt is left", retryNoRoom)
			return
		}
		ended, why := j.tryStream(ctx, chain)
		done()
		if ended {
			return
		}
		j.event(zerolog.InfoLevel).Strs("chain", j.chain).Str("reason", why).Int("runs", j.runs).
			Int("events", j.events).Str("last_event", j.lastID).Strs("avoid", j.avoided(time.Now())).Msg("attempt failed")
		if ctx.Err() != nil || (j.runs > 0 && (!j.route.Retryable() || j.runs >= j.route.MaxAttempts)) {
			j.giveUp(ctx, fireflysaddle.CodeTargetFailed, why, retryNoRoom)
			return
		}
	}
}

// pickChain chooses a chain, or the one target of a plain service, and waits a
// little for room.
func (j *job) pickChain(ctx context.Context) (saddlefleet.Chain, func(), *Refusal) {
	if j.pool.Model == nil {
		t, done, ok := j.cfg.Fleet.Pick(time.Now(), j.pool.Group, j.tried)
		if !ok {
			return saddlefleet.Chain{}, nil, &Refusal{Code: fireflysaddle.CodeNoTarget, Message: "no target is known", RetryAfter: retryFull}
		}
		j.tried = append(j.tried, t.ID)
		return saddlefleet.Chain{Head: t}, done, nil
	}
	return j.awaitChain(ctx)
}

// awaitChain chooses a chain once there is one with room.
func (j *job) awaitChain(ctx context.Context) (saddlefleet.Chain, func(), *Refusal) {
	chain, done, full, ok := j.cfg.Fleet.PickChain(time.Now(), j.pool, j.call.tokens(), j.avoided(time.Now()))
	if ok {
		return chain, done, nil
	}
	ticket := j.waiting.join()
	defer ticket.leave()
	for {
		if wait := roomWait - j.quiet(); wait <= 0 || ctx.Err() != nil || !ticket.turn(ctx, wait) {
			break
		}
		chain, done, full, ok = j.cfg.Fleet.PickChain(time.Now(), j.pool, j.call.tokens(), j.avoided(time.Now()))
		if ok {
			j.event(zerolog.InfoLevel).Int64("waited_ms", time.Since(j.begun).Milliseconds()).Msg("chain found after a wait")
			return chain, done, nil
		}
	}
	if full {
		return chain, nil, &Refusal{Code: fireflysaddle.CodeOverloaded, Message: "no chain has room", RetryAfter: retryNoRoom}
	}
	return chain, nil, &Refusal{Code: fireflysaddle.CodeNoTarget, Message: "no engines hold all layers", RetryAfter: retryNoChain}
}

// outlasts reports whether a draft may take longer than the process has, which was
// told to stop.
func (j *job) outlasts(now time.Time) bool {
	until := j.until.Load()
	if until == 0 {
		return false
	}
	most := time.Duration(j.call.MaxOutputTokens) * tokenTime
	return now.Add(most + leaveMargin).After(time.Unix(0, until))
}

// quiet returns for how long the caller has had nothing.
func (j *job) quiet() time.Duration {
	if j.lastAt.IsZero() {
		return time.Since(j.begun)
	}
	return time.Since(j.lastAt)
}

// tryStream sends the call along one chain. It reports whether the call has
// ended, else why the attempt failed.
func (j *job) tryStream(ctx context.Context, chain saddlefleet.Chain) (ended bool, why string) {
	now := time.Now()
	f := j.forward(now)
	f.Target = chain.Head.ID
	f.Address = chain.Head.Address
	f.Chain = chain.Parts
	f.LastEventID = j.lastID
	j.chain = chain.Addresses()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := j.watch(ctx, cancel, chain)
	defer func() {
		j.chain = watch.stop().Addresses()
		if at := watch.fault.Load(); at != nil {
			j.passOver(time.Now(), *at, avoidDown)
		}
	}()
	reply, err := j.cfg.Forwarder.Forward(ctx, f)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = &fireflysaddle.TargetError{Target: chain.Head.ID, Err: cause}
		}
		return false, j.noReply(chain.Head.Address, time.Since(now), err)
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.NotRun {
		return false, j.notRun(reply)
	}
	j.runs++
	if reply.Status != http.StatusOK {
		return j.streamFailed(reply)
	}
	return j.relay(ctx, reply, watch)
}

// notRun takes in that an engine refused the request, and which one is the cause.
func (j *job) notRun(reply *fireflysaddle.Reply) string {
	if reply.FaultyEngine != "" {
		j.passOver(time.Now(), reply.FaultyEngine, avoidFull)
		j.cfg.Fleet.RecordRefusal(time.Now(), reply.FaultyEngine)
	}
	return "not run, " + strconv.Itoa(reply.Status) + " at " + reply.FaultyEngine
}

// streamFailed hands on a failure of the engine, unless another attempt is worth
// it.
func (j *job) streamFailed(reply *fireflysaddle.Reply) (ended bool, why string) {
	if j.headed || j.worthAnother(reply.Status) {
		return false, "target answered " + strconv.Itoa(reply.Status)
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, keptAnswer))
	if err != nil {
		return false, "answer broke off: " + err.Error()
	}
	j.handOn(reply, body)
	return true, ""
}

// relay hands on events as they come, those that the caller has not had yet.
func (j *job) relay(ctx context.Context, reply *fireflysaddle.Reply, watch *watchdog) (ended bool, why string) {
	events := saddlesse.NewReader(reply.Body)
	for {
		e, err := events.Next()
		if err != nil && !errors.Is(err, io.EOF) {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			} else {
				j.cfg.Fleet.RecordFault(time.Now(), j.chain[0], err.Error())
			}
			return false, "stream broke off: " + err.Error()
		}
		watch.saw()
		if len(e.Raw) > 0 && !j.had(e.ID) {
			if j.write(reply, e) != nil {
				j.gone()
				return true, ""
			}
		}
		if err != nil {
			return j.streamEnded(reply)
		}
	}
}

func (j *job) streamEnded(reply *fireflysaddle.Reply) (ended bool, why string) {
	if !j.headed {
		j.headed = true
		if j.w.Begin(reply) != nil {
			j.gone()
			return true, ""
		}
	}
	countServed.Add(1)
	j.finish("answered", "", "")
	return true, ""
}

func (j *job) write(reply *fireflysaddle.Reply, e saddlesse.Event) error {
	if !j.headed {
		j.headed = true
		j.firstAt = time.Now()
		if err := j.w.Begin(reply); err != nil {
			return err
		}
	}
	if err := j.w.Write(e.Raw); err != nil {
		return err
	}
	now := time.Now()
	if j.events > 0 {
		j.longest = max(j.longest, now.Sub(j.lastAt))
	}
	j.events++
	j.lastAt = now
	if e.ID != "" {
		j.lastID = e.ID
	}
	return nil
}

// had reports whether the caller has an event already: one that an attempt sends
// again.
func (j *job) had(id string) bool {
	if id == "" || j.lastID == "" {
		return false
	}
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	last, err := strconv.ParseUint(j.lastID, 10, 64)
	return err == nil && n <= last
}
