package saddlegateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
)

const (
	// rerouteTimeout is the time within which the head of a chain must answer the request
	// to continue on another chain.
	rerouteTimeout = 100 * time.Millisecond
	// maxRerouteChains bounds the chains tried in one reroute. Several are tried because two
	// engines may be lost at the same time, and a third engine may be full.
	maxRerouteChains = 3
	// rerouteInterval is the time between attempts to reroute a stream that cannot be
	// retried. A spare engine takes over the layers of a lost one within one or two
	// seconds.
	rerouteInterval = 100 * time.Millisecond
	// maxRerouteWait is the time without an event after which a reroute is not attempted
	// again. After two seconds engines terminate the requests that depend on a lost
	// engine, and callers disconnect.
	maxRerouteWait = 2 * time.Second
)

// handleEngineLoss reroutes the attempt around the lost engine at address. The address is
// empty if the head has refused the current chain and no engine of the chain is excluded.
//
// If the reroute fails, there are three cases:
//   - It aborts the attempt if the lost engine is the head, if the head does not have the
//     request, or after maxRerouteWait without an event.
//   - Otherwise it aborts the attempt if another attempt may follow and the retry budget
//     allows it.
//   - Otherwise it schedules another reroute, because a spare engine may take over the lost
//     layers.
func (w *watchdog) handleEngineLoss(address string) {
	w.chainMu.Lock()
	defer w.chainMu.Unlock()
	if w.stopped || w.ctx.Err() != nil || (!w.rerouteRefused.Load() && !w.chain.Load().Includes(address)) {
		return
	}
	silence := w.silence()
	err := w.reroute(address)
	if err == nil {
		countRerouted.Add(1)
		w.job.logEvent(zerolog.InfoLevel).Str("engine", address).Int64("silent_ms", silence.Milliseconds()).
			Strs("chain", w.chain.Load().Addresses()).Msg("chain rerouted")
		w.scheduleCheck(firstEventCheck)
		return
	}
	cannotWait := isUnknownRequest(err) || address == w.chain.Load().Head.Address || silence > maxRerouteWait
	if !cannotWait && !w.reserveNextAttempt() {
		if !w.waiting {
			w.waiting = true
			w.job.logEvent(zerolog.InfoLevel).Err(err).Str("engine", address).Int64("silent_ms", silence.Milliseconds()).
				Bool("attempts_left", w.mayRetry).Msg("chain waits for a replacement engine")
		}
		w.scheduleCheck(rerouteInterval)
		return
	}
	w.job.logEvent(zerolog.InfoLevel).Err(err).Str("engine", address).Int64("silent_ms", silence.Milliseconds()).
		Msg("chain not rerouted")
	w.abort(address, w.checkDelay(), fmt.Errorf("chain stalled at the engine %s and could not be rerouted", address))
}

// reserveNextAttempt reports whether another attempt may follow this one, and deducts
// it from the retry budget.
func (w *watchdog) reserveNextAttempt() bool { return w.mayRetry && w.job.prepayRetry(w.ctx) }

// isUnknownRequest reports whether the head answered that it does not have the request.
func isUnknownRequest(err error) bool {
	var refused *fireflysaddle.OrderError
	return errors.As(err, &refused) && refused.Status == fireflysaddle.OrderNotFound
}

var errNoReplacement = errors.New("no other engines have capacity for the lost layers")

// reroute assigns the layers of the lost engine to other engines and orders the head to
// continue the attempt on the new chain, from where the attempt stopped. If an engine
// refuses its part of the new chain, reroute assigns that engine's layers to others in the
// same way.
func (w *watchdog) reroute(lost string) error {
	for range maxRerouteChains {
		if w.chain.Load().Includes(lost) {
			chain, ok := w.job.cfg.Fleet.Repair(time.Now(), w.job.pool, *w.chain.Load(), lost)
			if !ok {
				return errNoReplacement
			}
			w.job.attemptIndex.remove(w, *w.chain.Load())
			w.job.attemptIndex.add(w, chain)
			w.chain.Store(&chain)
		}
		err := w.sendReroute(*w.chain.Load())
		w.rerouteRefused.Store(err != nil)
		var refused *fireflysaddle.OrderError
		if !errors.As(err, &refused) || !w.chain.Load().Includes(refused.FaultyEngine) {
			return err
		}
		w.job.cfg.Fleet.RecordRefusal(time.Now(), refused.FaultyEngine)
		lost = refused.FaultyEngine
	}
	return errNoReplacement
}

func (w *watchdog) sendReroute(chain saddlefleet.Chain) error {
	ctx, cancel := context.WithTimeout(w.ctx, rerouteTimeout)
	defer cancel()
	return w.job.cfg.Forwarder.Reroute(ctx, chain.Head.Address, w.job.call.ID, chain.Parts)
}
