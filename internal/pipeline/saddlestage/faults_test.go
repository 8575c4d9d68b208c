package saddlestage_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlestage"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// A position in the middle of the answer.
const midway = 7

func TestChainRunsEveryLayerOnceForEachToken(t *testing.T) {
	for stages := 2; stages <= 6; stages++ {
		virtually(t, func(t *testing.T) {
			f := newFleet(t, stages, nil)
			defer f.close()
			r := f.run(t.Context())
			f.judge(t, r)
			is.New(t).NoErr(saddlestandin.CheckOrder(f.journal.All()))
		})
	}
}

// Frames that are lost between agents that both live are sent again: nothing
// is replaced, and no layer runs twice.
func TestFramesLostBetweenLiveAgentsAreSentAgain(t *testing.T) {
	faults := map[string]func(f *fleet, from, to string){
		"silent": func(f *fleet, from, to string) { f.net.DropTraffic(from, to) },
		"broken": func(f *fleet, from, to string) { f.net.CloseConns(from, to) },
	}
	for name, fault := range faults {
		for stage := range 3 {
			for _, position := range []uint32{0, 5, midway} {
				t.Run(name, func(t *testing.T) {
					virtually(t, func(t *testing.T) {
						f := newFleet(t, 3, nil)
						defer f.close()
						from, to := f.stages[stage], f.stages[(stage+1)%3]
						from.at(position, func() { fault(f, from.info.GetAddress(), to.info.GetAddress()) })
						r := f.run(t.Context())
						f.judge(t, r)
						is := is.New(t)
						is.Equal(r.attempts, uint32(1))
						is.NoErr(saddlestandin.CheckOrder(f.journal.All()))
					})
				})
			}
		}
	}
}

// A step is lost while its link stays up: nothing tells of it, so the head
// sees that no stage makes progress and has it sent again.
func TestStepLostWithoutASignIsSentAgain(t *testing.T) {
	for stage := 1; stage < 3; stage++ {
		virtually(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 3, nil)
			defer f.close()
			f.stages[stage].lose.Store(midway)
			r := f.run(t.Context())
			f.judge(t, r)
			is.Equal(r.attempts, uint32(1))
			is.NoErr(saddlestandin.CheckOrder(f.journal.All()))
		})
	}
}

// The same frame again, and an older one, are dropped without a word; one that
// leaves positions out is reported, and runs nothing.
func TestDuplicateAndReorderedFrames(t *testing.T) {
	frames := map[string]struct {
		offset int // from the position that the stage ran
		fault  bool
	}{
		"the same again": {offset: 0},
		"an older one":   {offset: -1},
		"one too early":  {offset: 2, fault: true},
	}
	for name, c := range frames {
		t.Run(name, func(t *testing.T) {
			virtually(t, func(t *testing.T) {
				f := newFleet(t, 3, nil)
				defer f.close()
				f.stages[2].at(midway, func() {
					f.stages[1].runner.Take(time.Now(), stepFrame(midway+c.offset, 0))
					f.stages[0].runner.Take(time.Now(), &saddlewire.Frame{
						Kind: saddlewire.Frame_TOKEN, Request: "r1", Attempt: 1, Count: 1, Position: midway - 1, Token: " stray",
					})
				})
				r := f.run(t.Context())
				f.judge(t, r)
				is := is.New(t)
				is.Equal(r.attempts, uint32(1))
				is.Equal(f.stages[1].faults() > 0, c.fault)
				is.NoErr(saddlestandin.CheckOrder(f.journal.All()))
			})
		})
	}
}

// stepFrame returns a step with a wrong activation for stage 1.
func stepFrame(position int, repair uint32) *saddlewire.Frame {
	return &saddlewire.Frame{
		Kind: saddlewire.Frame_STEP, Request: "r1", Attempt: 1, Index: 1, Repair: repair,
		Position: uint32(position), Count: 1, Activation: make([]byte, 8),
	}
}

// A link that breaks is dialled anew and its last frame sent again, without
// the head's help: it would ask after an hour only.
func TestBrokenLinkIsMendedByItsSender(t *testing.T) {
	for stage := range 3 {
		virtually(t, func(t *testing.T) {
			f := newFleet(t, 3, func(cfg *saddlestage.Config) { cfg.ProbeInterval = time.Hour })
			defer f.close()
			from, to := f.stages[stage], f.stages[(stage+1)%3]
			from.at(midway, func() {
				time.Sleep(silence) // the link has carried heartbeats
				f.net.DropTraffic(from.info.GetAddress(), to.info.GetAddress())
			})
			began := time.Now()
			r := f.run(t.Context())
			f.judge(t, r)
			is.New(t).True(time.Since(began) < budget)
		})
	}
}

// A receiver ends a link whose sender has gone without a word.
func TestReceiverEndsASilentLink(t *testing.T) {
	virtually(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, nil)
		defer f.close()
		conn, err := f.stages[0].dial(t.Context(), "stage-1")
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		stream, err := saddlewire.NewDRPCAgentClient(conn).Hop(t.Context())
		is.NoErr(err)
		began := time.Now()
		for err == nil {
			_, err = stream.Recv()
		}
		is.Equal(time.Since(began), silence)
	})
}

func TestLateFrameOfAClosedAttemptOpensNothing(t *testing.T) {
	virtually(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, nil)
		defer f.close()
		f.judge(t, f.run(t.Context()))
		before := len(f.journal.All())
		f.stages[1].runner.Take(time.Now(), &saddlewire.Frame{
			Kind: saddlewire.Frame_STEP, Request: "r1", Attempt: 1, Index: 1,
			Position: 0, Count: 1, Activation: make([]byte, 8), Chain: infos(f.stages),
		})
		time.Sleep(probe)
		is.Equal(f.stages[1].runner.Active(), 0)
		is.Equal(len(f.journal.All()), before) // its engine ran nothing
	})
}

func TestStagesBehindALostOneAreClosed(t *testing.T) {
	virtually(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, nil)
		defer f.close()
		f.stages[3].at(midway, func() { go f.stages[1].kill() })
		err := f.drive(t.Context(), func(string) error { return nil })
		var lost *saddlestage.LostError
		is.True(errors.As(err, &lost))
		is.Equal(lost.Target, fireflysaddle.TargetID("stage-1"))
		time.Sleep(2 * probe)
		for _, i := range []int{0, 2, 3} {
			is.Equal(f.stages[i].runner.Active(), 0)
			is.Equal(f.stages[i].engine.CachedAttempts(), 0)
		}
	})
}

// The head dies and can close nothing.
func TestSessionsOfALostHeadAreDropped(t *testing.T) {
	virtually(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, nil)
		defer f.close()
		f.stages[2].at(midway, func() { go f.stages[0].kill() })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		context.AfterFunc(f.stages[0].ctx, cancel)
		is.True(f.drive(ctx, func(string) error { return nil }) != nil)
		time.Sleep(20 * probe)
		for _, a := range f.stages[1:] {
			is.Equal(a.runner.Active(), 0)
			is.Equal(a.engine.CachedAttempts(), 0)
		}
	})
}

// A step that is under way when its session closes is cancelled, and the
// engine keeps nothing of it, even one that cannot be interrupted.
func TestStepEndsWithItsSession(t *testing.T) {
	for stage := range 2 {
		for _, stubborn := range []bool{false, true} {
			t.Run(fmt.Sprintf("stage %d, stubborn: %t", stage, stubborn), func(t *testing.T) {
				virtually(t, func(t *testing.T) {
					is := is.New(t)
					f := newFleet(t, 3, nil)
					defer f.close()
					f.stages[stage].stubborn.Store(stubborn)
					f.stages[stage].engine.Freeze()
					ctx, cancel := context.WithTimeout(t.Context(), probe/2)
					defer cancel()
					began := time.Now()
					is.True(errors.Is(f.drive(ctx, func(string) error { return nil }), context.DeadlineExceeded))
					is.Equal(time.Since(began), probe/2) // at once
					time.Sleep(probe)
					f.stages[stage].engine.Thaw()
					time.Sleep(probe)
					is.Equal(f.stages[stage].engine.CachedAttempts(), 0)
					is.Equal(f.ran(f.stages[stage].info.GetTarget()), stubborn)
				})
			})
		}
	}
}

// The head's engine answers no more, and its agent has noticed.
func TestFrozenHeadEngineEndsTheAttempt(t *testing.T) {
	virtually(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, nil)
		defer f.close()
		f.stages[0].engine.Freeze()
		time.AfterFunc(probe/2, func() { f.stages[0].dead.Store(true) })
		began := time.Now()
		err := f.drive(t.Context(), func(string) error { return nil })
		var lost *saddlestage.LostError
		is.True(errors.As(err, &lost))
		is.Equal(lost.Target, fireflysaddle.TargetID("stage-0"))
		is.Equal(time.Since(began), probe)
		f.stages[0].engine.Thaw()
	})
}

func TestLostHeadEngineEndsTheAttempt(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(t, 3, nil)
		defer f.close()
		f.addSpare(0)
		f.stages[0].at(midway, func() { f.stages[0].killEngine() })
		r := f.run(t.Context())
		f.judge(t, r)
		is.New(t).Equal(r.attempts, uint32(2))
	})
}

// A link without frames for a minute is closed; that loses nothing.
func TestIdleLinkHarmsNoAttempt(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(t, 3, nil)
		defer f.close()
		f.stages[1].at(midway, func() { time.Sleep(70 * time.Second) })
		var got []string
		err := f.drive(t.Context(), func(text string) error { got = append(got, text); return nil })
		f.judge(t, run{got: got, err: err})
		for _, a := range f.stages {
			is.New(t).Equal(a.faults(), 0)
		}
	})
}

func TestChainThatDoesNotCoverTheModelIsRefused(t *testing.T) {
	virtually(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, nil)
		defer f.close()
		err := f.attempt(t.Context(), []*agent{f.stages[0], f.stages[2]}, 1, nil, func(string) error { return nil })
		var refused *fireflysaddle.RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(len(f.journal.All()), 0)
	})
}
