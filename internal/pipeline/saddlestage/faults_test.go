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

// midway is a position in the middle of the answer.
const midway = 7

func TestChainRunsEveryLayerOnceForEachToken(t *testing.T) {
	for stages := 2; stages <= 6; stages++ {
		inVirtualTime(t, func(t *testing.T) {
			f := newFleet(t, stages, nil)
			defer f.close()
			r := f.runRequest(t.Context())
			f.checkResult(t, r)
			is.New(t).NoErr(saddlestandin.CheckOrder(f.journal.All()))
		})
	}
}

// Frames lost between two live agents are resent: no stage is replaced, and no
// layer runs twice.
func TestFramesLostBetweenLiveAgentsAreResent(t *testing.T) {
	faults := map[string]func(f *fleet, from, to string){
		"silent": func(f *fleet, from, to string) { f.net.DropTraffic(from, to) },
		"broken": func(f *fleet, from, to string) { f.net.CloseConns(from, to) },
	}
	for name, fault := range faults {
		for stage := range 3 {
			for _, position := range []uint32{0, 5, midway} {
				t.Run(name, func(t *testing.T) {
					inVirtualTime(t, func(t *testing.T) {
						f := newFleet(t, 3, nil)
						defer f.close()
						from, to := f.stages[stage], f.stages[(stage+1)%3]
						from.onPosition(position, func() { fault(f, from.info.GetAddress(), to.info.GetAddress()) })
						r := f.runRequest(t.Context())
						f.checkResult(t, r)
						is := is.New(t)
						is.Equal(r.attempts, uint32(1))
						is.NoErr(saddlestandin.CheckOrder(f.journal.All()))
					})
				})
			}
		}
	}
}

// A step is lost while its link stays up, so no fault is reported. The head
// detects that no stage makes progress and has the step resent.
func TestSilentlyLostStepIsResent(t *testing.T) {
	for stage := 1; stage < 3; stage++ {
		inVirtualTime(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 3, nil)
			defer f.close()
			f.stages[stage].loseStepAt.Store(midway)
			r := f.runRequest(t.Context())
			f.checkResult(t, r)
			is.Equal(r.attempts, uint32(1))
			is.NoErr(saddlestandin.CheckOrder(f.journal.All()))
		})
	}
}

// Duplicate and older frames are dropped silently. A frame that skips positions
// is reported as a fault and not run.
func TestDuplicateAndReorderedFrames(t *testing.T) {
	frames := map[string]struct {
		offset int // relative to the position that the stage runs
		fault  bool
	}{
		"same frame":       {offset: 0},
		"older frame":      {offset: -1},
		"skipped position": {offset: 2, fault: true},
	}
	for name, c := range frames {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newFleet(t, 3, nil)
				defer f.close()
				f.stages[2].onPosition(midway, func() {
					f.stages[1].runner.HandleFrame(time.Now(), invalidStepFrame(midway+c.offset, 0))
					f.stages[0].runner.HandleFrame(time.Now(), &saddlewire.Frame{
						Kind: saddlewire.Frame_TOKEN, Request: "r1", Attempt: 1, Count: 1, Position: midway - 1, Token: " stray",
					})
				})
				r := f.runRequest(t.Context())
				f.checkResult(t, r)
				is := is.New(t)
				is.Equal(r.attempts, uint32(1))
				is.Equal(f.stages[1].faultCount() > 0, c.fault)
				is.NoErr(saddlestandin.CheckOrder(f.journal.All()))
			})
		})
	}
}

// invalidStepFrame returns a step frame to stage 1 with an invalid activation. The
// tests expect that no stage runs this frame.
func invalidStepFrame(position int, repair uint32) *saddlewire.Frame {
	return &saddlewire.Frame{
		Kind: saddlewire.Frame_STEP, Request: "r1", Attempt: 1, Index: 1, Repair: repair,
		Position: uint32(position), Count: 1, Activation: make([]byte, 8),
	}
}

// The sender of a broken link dials it again and resends the last frame. The
// head's probe interval is one hour, so no probe of the head can cause the resend.
func TestSenderReconnectsBrokenLink(t *testing.T) {
	for stage := range 3 {
		inVirtualTime(t, func(t *testing.T) {
			f := newFleet(t, 3, func(cfg *saddlestage.Config) { cfg.ProbeInterval = time.Hour })
			defer f.close()
			from, to := f.stages[stage], f.stages[(stage+1)%3]
			from.onPosition(midway, func() {
				time.Sleep(silenceTimeout) // lets the link receive heartbeats
				f.net.DropTraffic(from.info.GetAddress(), to.info.GetAddress())
			})
			began := time.Now()
			r := f.runRequest(t.Context())
			f.checkResult(t, r)
			is.New(t).True(time.Since(began) < budget)
		})
	}
}

// The receiver closes a link whose sender has stopped without closing it.
func TestReceiverClosesSilentLink(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
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
		is.Equal(time.Since(began), silenceTimeout)
	})
}

func TestLateFrameOfClosedAttemptOpensNoSession(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, nil)
		defer f.close()
		f.checkResult(t, f.runRequest(t.Context()))
		before := len(f.journal.All())
		f.stages[1].runner.HandleFrame(time.Now(), &saddlewire.Frame{
			Kind: saddlewire.Frame_STEP, Request: "r1", Attempt: 1, Index: 1,
			Position: 0, Count: 1, Activation: make([]byte, 8), Chain: stageInfos(f.stages),
		})
		time.Sleep(probeInterval)
		is.Equal(f.stages[1].runner.Active(), 0)
		is.Equal(len(f.journal.All()), before) // the engine has not run the frame
	})
}

func TestStagesAfterLostStageAreClosed(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, nil)
		defer f.close()
		f.stages[3].onPosition(midway, func() { go f.stages[1].kill() })
		err := f.driveFirstAttempt(t.Context(), func(string) error { return nil })
		var lost *saddlestage.LostError
		is.True(errors.As(err, &lost))
		is.Equal(lost.Target, fireflysaddle.TargetID("stage-1"))
		time.Sleep(2 * probeInterval)
		for _, i := range []int{0, 2, 3} {
			is.Equal(f.stages[i].runner.Active(), 0)
			is.Equal(f.stages[i].engine.CachedAttempts(), 0)
		}
	})
}

// A head that crashes cannot close its attempt, so the other stages must drop
// their sessions themselves.
func TestSessionsOfLostHeadAreDropped(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, nil)
		defer f.close()
		f.stages[2].onPosition(midway, func() { go f.stages[0].kill() })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		context.AfterFunc(f.stages[0].ctx, cancel)
		is.True(f.driveFirstAttempt(ctx, func(string) error { return nil }) != nil)
		time.Sleep(20 * probeInterval)
		for _, a := range f.stages[1:] {
			is.Equal(a.runner.Active(), 0)
			is.Equal(a.engine.CachedAttempts(), 0)
		}
	})
}

// When a session closes, its step in progress is cancelled and the engine releases
// the state of the attempt. An engine that cannot interrupt the step releases the
// state after the step.
func TestStepEndsWithItsSession(t *testing.T) {
	for stage := range 2 {
		for _, uninterruptible := range []bool{false, true} {
			t.Run(fmt.Sprintf("stage %d, uninterruptible: %t", stage, uninterruptible), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					is := is.New(t)
					f := newFleet(t, 3, nil)
					defer f.close()
					f.stages[stage].uninterruptible.Store(uninterruptible)
					f.stages[stage].engine.Freeze()
					ctx, cancel := context.WithTimeout(t.Context(), probeInterval/2)
					defer cancel()
					began := time.Now()
					is.True(errors.Is(f.driveFirstAttempt(ctx, func(string) error { return nil }), context.DeadlineExceeded))
					is.Equal(time.Since(began), probeInterval/2) // without waiting for the step
					time.Sleep(probeInterval)
					f.stages[stage].engine.Thaw()
					time.Sleep(probeInterval)
					is.Equal(f.stages[stage].engine.CachedAttempts(), 0)
					is.Equal(f.hasRun(f.stages[stage].info.GetTarget()), uninterruptible)
				})
			})
		}
	}
}

// The head's engine hangs in a step, and its agent marks it as lost.
func TestFrozenHeadEngineEndsTheAttempt(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, nil)
		defer f.close()
		f.stages[0].engine.Freeze()
		time.AfterFunc(probeInterval/2, func() { f.stages[0].dead.Store(true) })
		began := time.Now()
		err := f.driveFirstAttempt(t.Context(), func(string) error { return nil })
		var lost *saddlestage.LostError
		is.True(errors.As(err, &lost))
		is.Equal(lost.Target, fireflysaddle.TargetID("stage-0"))
		is.Equal(time.Since(began), probeInterval)
		f.stages[0].engine.Thaw()
	})
}

func TestLostHeadEngineEndsTheAttempt(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFleet(t, 3, nil)
		defer f.close()
		f.addSpare(0)
		f.stages[0].onPosition(midway, func() { f.stages[0].killEngine() })
		r := f.runRequest(t.Context())
		f.checkResult(t, r)
		is.New(t).Equal(r.attempts, uint32(2))
	})
}

// A link that was closed after a minute without frames is opened again when
// needed, and no frame is lost.
func TestIdleLinkCloseCausesNoFault(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFleet(t, 3, nil)
		defer f.close()
		f.stages[1].onPosition(midway, func() { time.Sleep(70 * time.Second) })
		var got []string
		err := f.driveFirstAttempt(t.Context(), func(text string) error { got = append(got, text); return nil })
		f.checkResult(t, requestResult{got: got, err: err})
		for _, a := range f.stages {
			is.New(t).Equal(a.faultCount(), 0)
		}
	})
}

func TestChainNotCoveringModelIsRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, nil)
		defer f.close()
		err := f.driveAttempt(t.Context(), []*agent{f.stages[0], f.stages[2]}, 1, nil, func(string) error { return nil })
		var refused *fireflysaddle.RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(len(f.journal.All()), 0)
	})
}
