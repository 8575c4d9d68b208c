package saddlegateway

import (
	"cmp"
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
)

// handleEngineLoss reroutes the attempt around the lost engine at address, and reports whether
// it did or aborted the attempt. The address is empty if the head has refused the current
// chain and no engine of the chain is excluded.
//
// If the attempt is not rerouted, there are four cases:
//   - It is aborted if its head has certainly ended, unless events arrive that the head had
//     sent before.
//   - It is aborted if the loss is confirmed, another attempt may follow and the retry budget
//     allows it: the capacity that it holds is of use to the next attempt.
//   - It is aborted once another attempt is accepted, if the engine is only suspected.
//   - Otherwise it continues, and the reroute is attempted again: a spare engine may take over
//     the lost layers, and an engine that only seems to be lost may send events again.
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
	head := w.chain.Load().Head.Address
	err := errHeadLost
	if address != head {
		err = w.reroute(address)
	}
	switch {
	case err == nil:
		countRerouted.Add(1)
		w.job.logEvent(zerolog.InfoLevel).Str("engine", address).Int64("silent_ms", silence.Milliseconds()).
			Strs("chain", w.chain.Load().Addresses()).Msg("chain rerouted")
		w.scheduleCheck(firstEventCheck)
	case w.hedge == nil && address == head && w.headEnded(loss):
		w.abort(address, delay, fmt.Errorf("engine %s lost: %w", address, err))
	case loss >= lossConfirmed && address != head && w.mayHedge() && w.job.prepayRetry(w.ctx):
		w.abort(address, delay, fmt.Errorf("engine %s lost: %w", address, err))
	default:
		w.continueWithout(cmp.Or(address, head), loss, delay, err)
		return false
	}
	return true
}

// headEnded reports whether the head has certainly ended and no event has arrived since that was
// found. What the head sent before its end may have been unread then.
func (w *watchdog) headEnded(loss engineLoss) bool {
	last := w.lastEvent.Load()
	if w.endSeen && w.endEvent == last {
		return true
	}
	if loss == lossCertain {
		w.endSeen, w.endEvent = true, last
	}
	return false
}

// continueWithout lets the attempt continue after the loss of the engine at an address, and
// hedges it if the route and the budget allow that.
func (w *watchdog) continueWithout(address string, loss engineLoss, delay time.Duration, err error) {
	if !w.waiting {
		w.waiting = true
		w.job.logEvent(zerolog.InfoLevel).Err(err).Str("engine", address).Stringer("loss", loss).Int64("silent_ms", w.silence().Milliseconds()).
			Int64("check_late_ms", delay.Milliseconds()).Bool("attempts_left", w.mayRetry).Msg("attempt continues without a lost engine")
	}
	w.startHedge(time.Now(), delay, address, fmt.Errorf("engine %s suspected: %w", address, err))
	w.scheduleCheck(rerouteInterval)
}

// lossOf returns how sure the loss of the engine at an address is.
func (w *watchdog) lossOf(address string) engineLoss {
	if w.job.cfg.Fleet.Ended(address) {
		return lossCertain
	}
	return lossSuspected
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
