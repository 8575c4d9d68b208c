package saddlestage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlestage"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
)

const recoveryStages = 4

// stepPositions returns the first position of every step of a run: that of the
// prefill, which runs the 5 positions of the prompt, and that of each decode step.
func stepPositions() []uint32 {
	out := []uint32{0}
	for p := uint32(5); p < 5+tokens-1; p++ {
		out = append(out, p)
	}
	return out
}

// newFleetWithSpares returns a fleet with n spares for each stage.
func newFleetWithSpares(t *testing.T, n int, configure func(*saddlestage.Config)) *fleet {
	t.Helper()
	f := newFleet(t, recoveryStages, configure)
	for stage := range recoveryStages {
		for range n {
			f.addSpare(stage)
		}
	}
	return f
}

// Each stage after the head is lost at each step, while any of the stages runs
// that step. The attempt continues, and the other stages run no step twice.
func TestLostStageIsReplacedWithinTheAttempt(t *testing.T) {
	losses := map[string]func(*agent){
		"agent lost":              func(a *agent) { go a.kill() },
		"engine lost":             func(a *agent) { a.killEngine() },
		"new connections ignored": func(a *agent) { a.ignoreNewConns() },
	}
	// The neighbours detect a dead agent or engine, so the head needs no probe.
	longProbeInterval := func(cfg *saddlestage.Config) { cfg.ProbeInterval = budget / 2 }
	settings := map[string]func(*saddlestage.Config){"agent lost": longProbeInterval, "engine lost": longProbeInterval}
	for name, lose := range losses {
		for victim := 1; victim < recoveryStages; victim++ {
			for triggerStage := range recoveryStages {
				for _, position := range stepPositions() {
					t.Run(fmt.Sprintf("%s: stage %d, while stage %d runs position %d", name, victim, triggerStage, position), func(t *testing.T) {
						t.Parallel()
						inVirtualTime(t, func(t *testing.T) {
							f := newFleetWithSpares(t, 1, settings[name])
							defer f.close()
							f.stages[triggerStage].onPosition(position, func() { lose(f.stages[victim]) })
							began := time.Now()
							r := f.runRequest(t.Context())
							is.New(t).True(time.Since(began) < budget/2)
							f.checkResult(t, r)
							is.New(t).Equal(r.attempts, uint32(1)) // no restart
						})
					})
				}
			}
		}
	}
}

// The head reports each target that a spare replaced, so that no other request
// is sent there.
func TestReplacedTargetIsReported(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFleetWithSpares(t, 1, nil)
		defer f.close()
		f.stages[1].onPosition(midway, func() { go f.stages[2].kill() })
		r := f.runRequest(t.Context())
		f.checkResult(t, r)
		is.New(t).Equal(f.replaced, []string{f.stages[2].info.GetTarget()})
	})
}

// The head drives the attempt, so a request needs a new attempt if its head is lost.
func TestLostHeadStartsNewAttempt(t *testing.T) {
	for triggerStage := range recoveryStages {
		for _, position := range stepPositions() {
			inVirtualTime(t, func(t *testing.T) {
				f := newFleetWithSpares(t, 1, nil)
				defer f.close()
				f.stages[triggerStage].onPosition(position, func() { go f.stages[0].kill() })
				r := f.runRequest(t.Context())
				f.checkResult(t, r)
				is.New(t).Equal(r.attempts, uint32(2))
			})
		}
	}
}

// Two stages are lost at once. If they are not neighbours, both are replaced. If
// they are neighbours, the export of the later stage is lost too, because the earlier
// stage holds it. Without exports, both are then replaced from position 0. With
// exports, the request may need a new attempt.
func TestTwoStagesLostAtOnce(t *testing.T) {
	for _, interval := range []fireflysaddle.Position{0, 4} {
		for _, victims := range [][2]int{{1, 2}, {2, 3}, {1, 3}} {
			for triggerStage := range recoveryStages {
				for _, position := range stepPositions() {
					t.Run(fmt.Sprintf("stages %v, while stage %d runs position %d, export interval %d", victims, triggerStage, position, interval), func(t *testing.T) {
						t.Parallel()
						inVirtualTime(t, func(t *testing.T) {
							f := newFleetWithSpares(t, 1, func(cfg *saddlestage.Config) { cfg.ExportInterval = interval })
							defer f.close()
							f.stages[triggerStage].onPosition(position, func() {
								go f.stages[victims[0]].kill()
								go f.stages[victims[1]].kill()
							})
							r := f.runRequest(t.Context())
							f.checkResult(t, r)
							if interval == 0 || victims == [2]int{1, 3} {
								is.New(t).Equal(r.attempts, uint32(1))
							}
						})
					})
				}
			}
		}
	}
}

// The replacement is lost at each position that it replays, and is itself
// replaced by the next spare.
func TestReplacementLostDuringReplay(t *testing.T) {
	for victim := 1; victim < recoveryStages; victim++ {
		for position := range uint32(5 + tokens - 1) {
			t.Run(fmt.Sprintf("first spare of stage %d lost at position %d", victim, position), func(t *testing.T) {
				t.Parallel()
				inVirtualTime(t, func(t *testing.T) {
					f := newFleetWithSpares(t, 2, nil)
					defer f.close()
					f.stages[victim].onPosition(9, func() { go f.stages[victim].kill() })
					firstSpare := f.spares[victim*2]
					firstSpare.onPosition(position, func() { go firstSpare.kill() })
					r := f.runRequest(t.Context())
					f.checkResult(t, r)
					is.New(t).Equal(r.attempts, uint32(1))
				})
			})
		}
	}
}

// A replacement starts from the last export and runs only the positions after it.
// No other stage runs a step again.
func TestReplacementRunsPositionsSinceExport(t *testing.T) {
	for victim := 1; victim < recoveryStages; victim++ {
		inVirtualTime(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleetWithSpares(t, 1, nil)
			defer f.close()
			f.stages[victim].onPosition(11, func() { f.stages[victim].killEngine() })
			f.checkResult(t, f.runRequest(t.Context()))
			executions := f.executions(f.spares[victim])
			is.True(executions[0].Imported)
			is.Equal(executions[0].Position, uint32(9)) // exports follow the prefill of 5 positions and 4 more
			is.Equal(len(executions), 1+3)              // the import, positions 9 and 10 replayed, and 11
		})
	}
}

// The replayed positions go to the engine of the replacement in one step; only
// the step in progress is separate.
func TestReplayedPositionsRunInOneStep(t *testing.T) {
	for victim := 1; victim < recoveryStages; victim++ {
		inVirtualTime(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleetWithSpares(t, 1, func(cfg *saddlestage.Config) { cfg.ExportInterval = 0 })
			defer f.close()
			f.stages[victim].onPosition(11, func() { f.stages[victim].killEngine() })
			var steps []uint32
			f.spares[victim].engine.BeforePosition(func(p uint32) { steps = append(steps, p) })
			f.checkResult(t, f.runRequest(t.Context()))
			is.Equal(steps, []uint32{0, 11})
		})
	}
}

func (f *fleet) executions(a *agent) []saddlestandin.Execution {
	var out []saddlestandin.Execution
	for _, e := range f.journal.All() {
		if e.Engine == a.info.GetTarget() {
			out = append(out, e)
		}
	}
	return out
}

// A stage exports after a step and is lost before the next stage has received
// the output of that step. The export includes this output.
func TestExportIncludesLastOutput(t *testing.T) {
	for victim := 1; victim < recoveryStages; victim++ {
		inVirtualTime(t, func(t *testing.T) {
			f := newFleetWithSpares(t, 1, func(cfg *saddlestage.Config) { cfg.ExportInterval = 1 })
			defer f.close()
			a := f.stages[victim]
			a.onPosition(midway-1, func() { // the export after this step is the last one, because the stage is lost before the next step
				f.net.DropTraffic(a.info.GetAddress(), f.stages[(victim+1)%recoveryStages].info.GetAddress())
				time.AfterFunc(silenceTimeout/4, a.kill)
			})
			r := f.runRequest(t.Context())
			f.checkResult(t, r)
			is := is.New(t)
			is.Equal(r.attempts, uint32(1))
			is.Equal(f.executions(f.spares[victim])[0].Position, uint32(midway))
		})
	}
}

// A replacement over a link with 450 ms delay imports its KV cache only once.
func TestReplacementOverSlowLinkIsRestoredOnce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleetWithSpares(t, 1, nil)
		defer f.close()
		f.net.SetDelay("stage-1", "spare-2-of-2", 450*time.Millisecond)
		f.stages[2].onPosition(midway, func() { go f.stages[2].kill() })
		r := f.runRequest(t.Context())
		f.checkResult(t, r)
		is.Equal(r.attempts, uint32(1))
		imports := 0
		for _, e := range f.executions(f.spares[2]) {
			if e.Imported {
				imports++
			}
		}
		is.Equal(imports, 1)
	})
}

// A replaced stage may still send frames for a while. They are dropped.
func TestFramesOfReplacedStageAreDropped(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleetWithSpares(t, 2, nil)
		defer f.close()
		f.stages[0].onPosition(6, func() { go f.stages[1].kill() })
		f.stages[3].onPosition(9, func() {
			frame := invalidStepFrame(10, 0) // frame for the next position, as the replaced stage would send it
			frame.Index = 2
			f.stages[2].runner.HandleFrame(time.Now(), frame)
		})
		r := f.runRequest(t.Context())
		f.checkResult(t, r)
		is.Equal(r.attempts, uint32(1))
	})
}

// A stage, its replacement and then the next stage are lost.
func TestStageLostTwiceInARow(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFleetWithSpares(t, 2, nil)
		defer f.close()
		f.stages[2].onPosition(6, func() { go f.stages[2].kill() })
		replacement := f.spares[4]
		replacement.onPosition(9, func() { go replacement.kill() })
		f.stages[3].onPosition(10, func() { go f.stages[3].kill() }) // its exports to stage 2 and to the first replacement are lost
		r := f.runRequest(t.Context())
		f.checkResult(t, r)
	})
}

// A spare that accepts no new attempts and a spare that is dead are skipped.
func TestUnusableSpareIsSkipped(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFleetWithSpares(t, 3, nil)
		defer f.close()
		f.spares[3].notAccepting.Store(true)
		f.spares[4].kill()
		f.stages[1].onPosition(midway, func() { go f.stages[1].kill() })
		r := f.runRequest(t.Context())
		f.checkResult(t, r)
		is.New(t).Equal(r.attempts, uint32(1))
	})
}

// A stage that accepts no new attempts when the first step arrives is replaced.
// A stage that has already started the attempt completes it.
func TestNonAcceptingStageRefusesOnlyNewAttempts(t *testing.T) {
	for _, position := range stepPositions() {
		inVirtualTime(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleetWithSpares(t, 1, nil)
			defer f.close()
			f.stages[0].onPosition(position, func() { f.stages[2].notAccepting.Store(true) })
			r := f.runRequest(t.Context())
			f.checkResult(t, r)
			is.Equal(r.attempts, uint32(1))
			is.Equal(f.hasRun("stage-2"), position > 0)
			is.Equal(f.hasRun("spare-2-of-2"), position == 0)
		})
	}
}

func (f *fleet) hasRun(engine string) bool {
	for _, e := range f.journal.All() {
		if e.Engine == engine {
			return true
		}
	}
	return false
}

// An agent that restarts while its engine stays up replaces itself.
func TestRestartedAgentReplacesItself(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newFleet(t, recoveryStages, nil)
		defer f.close()
		f.stages[2].onPosition(midway, func() {
			go f.stages[2].restart()
		})
		r := f.runRequest(t.Context())
		is := is.New(t)
		is.NoErr(r.err)
		is.Equal(r.got, f.expectedTokens())
		is.Equal(r.attempts, uint32(1))
	})
}

// If the activations after the last export are no longer held, the request needs
// a new attempt. The caller still receives every token once.
func TestBufferTooSmallStartsNewAttempt(t *testing.T) {
	settings := map[string]func(*saddlestage.Config){
		"buffer full":    func(cfg *saddlestage.Config) { cfg.BufferBytes = 100 },
		"no exports":     func(cfg *saddlestage.Config) { cfg.BufferBytes = 200; cfg.ExportInterval = 0 },
		"export too old": func(cfg *saddlestage.Config) { cfg.BufferBytes = 400; cfg.ExportInterval = 5 },
	}
	for name, configure := range settings {
		for victim := 1; victim < recoveryStages; victim++ {
			t.Run(fmt.Sprintf("%s, stage %d", name, victim), func(t *testing.T) {
				t.Parallel()
				inVirtualTime(t, func(t *testing.T) {
					f := newFleetWithSpares(t, 1, configure)
					defer f.close()
					f.stages[victim].onPosition(11, func() { go f.stages[victim].kill() })
					r := f.runRequest(t.Context())
					f.checkResult(t, r)
					is.New(t).Equal(r.attempts, uint32(2))
				})
			})
		}
	}
}

// Two neighbouring stages cannot reach each other, although the head reaches both. The
// later stage is replaced.
func TestStageUnreachableFromNeighbourIsReplaced(t *testing.T) {
	for stage := range recoveryStages - 1 {
		for _, position := range stepPositions() {
			inVirtualTime(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleetWithSpares(t, 1, nil)
				defer f.close()
				f.recordLost(f.stages[stage+1])
				f.stages[stage].onPosition(position, func() {
					f.net.Block(f.stages[stage].info.GetAddress(), f.stages[stage+1].info.GetAddress())
				})
				r := f.runRequest(t.Context())
				f.checkResult(t, r)
				is.Equal(r.attempts, uint32(1))
				is.True(f.hasRun(f.spares[stage+1].info.GetTarget()))
			})
		}
	}
}

// The last stage cannot reach the head. The head can reach the last stage and takes
// the token from the reply to its probe.
func TestHeadFetchesTokenOfStageThatCannotReachIt(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, nil)
		defer f.close()
		f.stages[2].onPosition(midway, func() { f.net.Block("stage-2", "stage-0") })
		r := f.runRequest(t.Context())
		f.checkResult(t, r)
		is.Equal(r.attempts, uint32(1))
		is.NoErr(saddlestandin.CheckOrder(f.journal.All()))
	})
}

// A stage on a slow link is not treated as lost.
func TestSlowLinkReplacesNoStage(t *testing.T) {
	for _, delay := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond, 450 * time.Millisecond} {
		inVirtualTime(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleetWithSpares(t, 1, func(cfg *saddlestage.Config) { cfg.LinkSilenceTimeout = 10 * probeInterval })
			defer f.close()
			f.net.SetDelay("stage-1", "stage-2", delay)
			r := f.runRequest(t.Context())
			f.checkResult(t, r)
			is.Equal(r.attempts, uint32(1))
			is.True(!f.hasRun("spare-2-of-2"))
		})
	}
}
