package saddlegateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
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
)

// handleEngineLoss reroutes the attempt around the lost engine at address, and reports whether
// it did or aborted the attempt. The address is empty if the head has refused the current
// chain and no engine of the chain is excluded.
//
// If the attempt is not rerouted, there are four cases:
//   - It is aborted if its head has certainly ended or does not have the request.
//   - It is aborted if the loss is confirmed, another attempt may follow and the retry budget
//     allows it: the capacity that it holds is of use to the next attempt.
//   - It is aborted once another attempt is certain, if the engine is only suspected.
//   - Otherwise it goes on, and the reroute is attempted again: a spare engine may take over
//     the lost layers, and an engine that only seems to be lost may go on.
func (w *watchdog) handleEngineLoss(address string, loss engineLoss) (settled bool) {
	w.chainMu.Lock()
	defer w.chainMu.Unlock()
	if w.stopped || w.ctx.Err() != nil || (!w.rerouteRefused.Load() && !w.chain.Load().Includes(address)) {
		return true
	}
	silence, delay := w.silence(), w.checkDelay()
	if loss == lossSuspected && silence < w.job.stallSilence() { // an event has arrived meanwhile
		w.scheduleCheck(w.job.stallSilence())
		return true
	}
	head := w.chain.Load().Head
	err := errHeadLost
	if address != head.Address {
		err = w.reroute(address)
	}
	if err == nil {
		countRerouted.Add(1)
		w.job.logEvent(zerolog.InfoLevel).Str("engine", address).Int64("silent_ms", silence.Milliseconds()).
			Strs("chain", w.chain.Load().Addresses()).Msg("chain rerouted")
		w.scheduleCheck(firstEventCheck)
		return true
	}
	over := isUnknownRequest(err) || (loss == lossCertain && address == head.Address)
	if !w.replaceAttempt(time.Now(), cmp.Or(address, head.Address), loss) && !over {
		if !w.waiting {
			w.waiting = true
			w.job.logEvent(zerolog.InfoLevel).Err(err).Str("engine", address).Int("loss", int(loss)).Int64("silent_ms", silence.Milliseconds()).
				Int64("check_late_ms", delay.Milliseconds()).Bool("attempts_left", w.mayRetry).Msg("attempt goes on without a lost engine")
		}
		w.scheduleCheck(rerouteInterval)
		return false
	}
	w.abort(address, delay, fmt.Errorf("engine %s lost: %w", address, err))
	return true
}

// replaceAttempt reports whether another attempt is to continue the stream after the loss of
// the engine at an address. It then has deducted the retry from the budget. It must be called
// with chainMu held.
func (w *watchdog) replaceAttempt(now time.Time, address string, loss engineLoss) bool {
	return w.secureNextAttempt(now, address) || (loss >= lossConfirmed && w.mayRetry && w.job.prepayRetry(w.ctx))
}

// lossOf returns how sure the loss of the engine at an address is.
func (w *watchdog) lossOf(address string) engineLoss {
	switch {
	case w.job.cfg.Fleet.Ended(address):
		return lossCertain
	case w.job.cfg.Fleet.Lost(address):
		return lossConfirmed
	}
	return lossSuspected
}

// secureNextAttempt reports whether another attempt can continue the stream at once without
// the engine at an address. It then has reserved a chain and a retry for that attempt. It must
// be called with chainMu held.
func (w *watchdog) secureNextAttempt(now time.Time, without string) bool {
	out := w.exclusions
	out.engines = slices.Concat(out.engines, []string{without})
	return w.mayRetry && w.job.secureNextAttempt(w.ctx, now, out)
}

// isUnknownRequest reports whether the head answered that it does not have the request.
func isUnknownRequest(err error) bool {
	var refused *fireflysaddle.OrderError
	return errors.As(err, &refused) && refused.Status == fireflysaddle.OrderNotFound
}

var (
	errNoReplacement = errors.New("no other engines have capacity for the lost layers")
	errHeadLost      = errors.New("the head of a chain cannot be replaced")
)

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
