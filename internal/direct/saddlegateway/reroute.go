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
	// rerouteTimeout bounds the order to go on along another chain.
	rerouteTimeout = 100 * time.Millisecond
	// maxReroutes bounds the chains that are tried: two engines may be lost at once,
	// and one be full.
	maxReroutes = 3
	// rerouteAgain is the time between tries to reroute a stream that may not be sent
	// again: a spare engine takes over the layers of a lost one within a second or two.
	rerouteAgain = 100 * time.Millisecond
	// rerouteFor bounds that wait: engines break off what depends on a lost one after
	// two seconds, and callers leave.
	rerouteFor = 2 * time.Second
)

// lose has the attempt go on without an engine of its chain, or ends it. One that no
// other may follow waits for an engine that takes over the layers, until its head
// breaks off or its caller leaves.
func (w *watchdog) lose(address string) {
	w.mend.Lock()
	defer w.mend.Unlock()
	if w.stopped || w.ctx.Err() != nil || (!w.refused.Load() && !w.chain.Load().Includes(address)) {
		return
	}
	silent := w.silent()
	err := w.reroute(address)
	if err == nil {
		countRerouted.Add(1)
		w.job.event(zerolog.InfoLevel).Str("engine", address).Int64("silent_ms", silent.Milliseconds()).
			Strs("chain", w.chain.Load().Addresses()).Msg("chain rerouted")
		w.timer.Reset(firstLook)
		return
	}
	hopeless := unknown(err) || address == w.chain.Load().Head.Address || silent > rerouteFor
	if !hopeless && !w.mayFollow() {
		if !w.waits {
			w.waits = true
			w.job.event(zerolog.InfoLevel).Err(err).Str("engine", address).Int64("silent_ms", silent.Milliseconds()).
				Bool("attempts_left", w.more).Msg("chain waits for an engine to take over")
		}
		w.timer.Reset(rerouteAgain)
		return
	}
	w.job.event(zerolog.InfoLevel).Err(err).Str("engine", address).Int64("silent_ms", silent.Milliseconds()).
		Msg("chain not rerouted")
	w.end(address, fmt.Errorf("the chain waits for the engine at %s", address))
}

// mayFollow reports whether another attempt may follow this one, and takes it from
// the retry budget.
func (w *watchdog) mayFollow() bool { return w.more && w.job.prepay(w.ctx) }

// unknown reports whether the head does not have the request.
func unknown(err error) bool {
	var refused *fireflysaddle.OrderError
	return errors.As(err, &refused) && refused.Status == fireflysaddle.OrderNotFound
}

var errNoRoute = errors.New("no other engines have room for its layers")

// reroute has other engines run the layers of a lost one, and of those that refuse
// their part of the new chain. The attempt goes on where it was.
func (w *watchdog) reroute(lost string) error {
	for range maxReroutes {
		if w.chain.Load().Includes(lost) {
			chain, ok := w.job.cfg.Fleet.Repair(time.Now(), w.job.pool, *w.chain.Load(), lost)
			if !ok {
				return errNoRoute
			}
			w.job.watched.remove(w, *w.chain.Load())
			w.job.watched.add(w, chain)
			w.chain.Store(&chain)
		}
		err := w.order(*w.chain.Load())
		w.refused.Store(err != nil)
		var refused *fireflysaddle.OrderError
		if !errors.As(err, &refused) || !w.chain.Load().Includes(refused.FaultyEngine) {
			return err
		}
		w.job.cfg.Fleet.RecordRefusal(time.Now(), refused.FaultyEngine)
		lost = refused.FaultyEngine
	}
	return errNoRoute
}

func (w *watchdog) order(chain saddlefleet.Chain) error {
	ctx, cancel := context.WithTimeout(w.ctx, rerouteTimeout)
	defer cancel()
	return w.job.cfg.Forwarder.Reroute(ctx, chain.Head.Address, w.job.call.ID, chain.Parts)
}
