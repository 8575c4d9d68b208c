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

// steps are the first positions of all steps of a run: prefill, then decode.
func steps() []uint32 {
	out := []uint32{0}
	for p := uint32(5); p < 5+tokens-1; p++ {
		out = append(out, p)
	}
	return out
}

// withSpares returns a chain with n spares for each stage.
func withSpares(t *testing.T, n int, settle func(*saddlestage.Config)) *fleet {
	t.Helper()
	f := newFleet(t, recoveryStages, settle)
	for stage := range recoveryStages {
		for range n {
			f.addSpare(stage)
		}
	}
	return f
}

// Each later stage is lost while each stage is at work on each step: the
// attempt goes on, the others run nothing twice.
func TestLostStageIsReplacedWithinTheAttempt(t *testing.T) {
	losses := map[string]func(*agent){
		"agent":    func(a *agent) { go a.kill() },
		"engine":   func(a *agent) { a.killEngine() },
		"stranded": func(a *agent) { a.strand() },
	}
	// A dead agent or engine shows at its neighbours; the head needs no probe.
	rarely := func(cfg *saddlestage.Config) { cfg.ProbeInterval = budget / 2 }
	settings := map[string]func(*saddlestage.Config){"agent": rarely, "engine": rarely}
	for name, lose := range losses {
		for victim := 1; victim < recoveryStages; victim++ {
			for worker := range recoveryStages {
				for _, position := range steps() {
					t.Run(fmt.Sprintf("%s %d while %d runs %d", name, victim, worker, position), func(t *testing.T) {
						t.Parallel()
						virtually(t, func(t *testing.T) {
							f := withSpares(t, 1, settings[name])
							defer f.close()
							f.stages[worker].at(position, func() { lose(f.stages[victim]) })
							began := time.Now()
							r := f.run(t.Context())
							is.New(t).True(time.Since(began) < budget/2)
							f.judge(t, r)
							is.New(t).Equal(r.attempts, uint32(1)) // no restart
						})
					})
				}
			}
		}
	}
}

// The head tells of each target that a spare took over from, so that no other
// request is sent there.
func TestReplacedTargetIsTold(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := withSpares(t, 1, nil)
		defer f.close()
		f.stages[1].at(midway, func() { go f.stages[2].kill() })
		r := f.run(t.Context())
		f.judge(t, r)
		is.New(t).Equal(f.replaced, []string{f.stages[2].info.GetTarget()})
	})
}

// The head drives the attempt: without it the request begins anew.
func TestLostHeadBeginsANewAttempt(t *testing.T) {
	for worker := range recoveryStages {
		for _, position := range steps() {
			virtually(t, func(t *testing.T) {
				f := withSpares(t, 1, nil)
				defer f.close()
				f.stages[worker].at(position, func() { go f.stages[0].kill() })
				r := f.run(t.Context())
				f.judge(t, r)
				is.New(t).Equal(r.attempts, uint32(2))
			})
		}
	}
}

// Two stages are lost at once. Two that are not neighbours are both replaced.
// Of neighbours, the later one's export is lost with the earlier one: without
// exports both are replaced from position 0, with them the request may begin
// anew.
func TestTwoStagesLostAtOnce(t *testing.T) {
	for _, every := range []fireflysaddle.Position{0, 4} {
		for _, victims := range [][2]int{{1, 2}, {2, 3}, {1, 3}} {
			for worker := range recoveryStages {
				for _, position := range steps() {
					t.Run(fmt.Sprintf("%v while %d runs %d, exports each %d", victims, worker, position, every), func(t *testing.T) {
						t.Parallel()
						virtually(t, func(t *testing.T) {
							f := withSpares(t, 1, func(cfg *saddlestage.Config) { cfg.ExportInterval = every })
							defer f.close()
							f.stages[worker].at(position, func() {
								go f.stages[victims[0]].kill()
								go f.stages[victims[1]].kill()
							})
							r := f.run(t.Context())
							f.judge(t, r)
							if every == 0 || victims == [2]int{1, 3} {
								is.New(t).Equal(r.attempts, uint32(1))
							}
						})
					})
				}
			}
		}
	}
}

// The replacement dies at each position that it catches up with; the next
// spare takes its place.
func TestReplacementLostWhileItCatchesUp(t *testing.T) {
	for victim := 1; victim < recoveryStages; victim++ {
		for position := range uint32(5 + tokens - 1) {
			t.Run(fmt.Sprintf("stage %d at %d", victim, position), func(t *testing.T) {
				t.Parallel()
				virtually(t, func(t *testing.T) {
					f := withSpares(t, 2, nil)
					defer f.close()
					f.stages[victim].at(9, func() { go f.stages[victim].kill() })
					first := f.spares[victim*2]
					first.at(position, func() { go first.kill() })
					r := f.run(t.Context())
					f.judge(t, r)
					is.New(t).Equal(r.attempts, uint32(1))
				})
			})
		}
	}
}

// A replacement starts from the last export and runs the positions since; no
// other stage runs anything again.
func TestReplacementRunsThePositionsSinceTheExport(t *testing.T) {
	for victim := 1; victim < recoveryStages; victim++ {
		virtually(t, func(t *testing.T) {
			is := is.New(t)
			f := withSpares(t, 1, nil)
			defer f.close()
			f.stages[victim].at(11, func() { f.stages[victim].killEngine() })
			f.judge(t, f.run(t.Context()))
			begun := f.executions(f.spares[victim])
			is.True(begun[0].Imported)
			is.Equal(begun[0].Position, uint32(9)) // exports after the prefill of 5 and 4 more
			is.Equal(len(begun), 1+3)              // the import, 9 and 10 again, and 11
		})
	}
}

// The positions that a replacement runs again go to its engine in one step;
// only the step in progress goes by itself.
func TestReplayedPositionsAreRunInOneStep(t *testing.T) {
	for victim := 1; victim < recoveryStages; victim++ {
		virtually(t, func(t *testing.T) {
			is := is.New(t)
			f := withSpares(t, 1, func(cfg *saddlestage.Config) { cfg.ExportInterval = 0 })
			defer f.close()
			f.stages[victim].at(11, func() { f.stages[victim].killEngine() })
			var steps []uint32
			f.spares[victim].engine.BeforePosition(func(p uint32) { steps = append(steps, p) })
			f.judge(t, f.run(t.Context()))
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

// A stage exports right after a step and dies before the next one got its
// outcome: the export brings the outcome along.
func TestExportBringsTheLastOutcomeAlong(t *testing.T) {
	for victim := 1; victim < recoveryStages; victim++ {
		virtually(t, func(t *testing.T) {
			f := withSpares(t, 1, func(cfg *saddlestage.Config) { cfg.ExportInterval = 1 })
			defer f.close()
			a := f.stages[victim]
			a.at(midway-1, func() { // the step after this one is not exported
				f.net.DropTraffic(a.info.GetAddress(), f.stages[(victim+1)%recoveryStages].info.GetAddress())
				time.AfterFunc(silence/4, a.kill)
			})
			r := f.run(t.Context())
			f.judge(t, r)
			is := is.New(t)
			is.Equal(r.attempts, uint32(1))
			is.Equal(f.executions(f.spares[victim])[0].Position, uint32(midway))
		})
	}
}

// A replacement that is slow to reach gets its cache once.
func TestReplacementOverASlowLinkIsRestoredOnce(t *testing.T) {
	virtually(t, func(t *testing.T) {
		is := is.New(t)
		f := withSpares(t, 1, nil)
		defer f.close()
		f.net.SetDelay("stage-1", "spare-2-of-2", 450*time.Millisecond)
		f.stages[2].at(midway, func() { go f.stages[2].kill() })
		r := f.run(t.Context())
		f.judge(t, r)
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

// A stage that was replaced goes on for a while: what it hands on is dropped.
func TestFramesOfAReplacedStageAreDropped(t *testing.T) {
	virtually(t, func(t *testing.T) {
		is := is.New(t)
		f := withSpares(t, 2, nil)
		defer f.close()
		f.stages[0].at(6, func() { go f.stages[1].kill() })
		f.stages[3].at(9, func() {
			frame := stepFrame(10, 0) // the next position, as the lost stage might have sent it
			frame.Index = 2
			f.stages[2].runner.Take(time.Now(), frame)
		})
		r := f.run(t.Context())
		f.judge(t, r)
		is.Equal(r.attempts, uint32(1))
	})
}

// The same stage is lost again and again.
func TestStageLostTwiceInARow(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := withSpares(t, 2, nil)
		defer f.close()
		f.stages[2].at(6, func() { go f.stages[2].kill() })
		second := f.spares[4]
		second.at(9, func() { go second.kill() })
		f.stages[3].at(10, func() { go f.stages[3].kill() }) // holds no export at the second replacement
		r := f.run(t.Context())
		f.judge(t, r)
	})
}

// A spare that leaves, and one that is gone, are passed over.
func TestSpareThatCannotTakeOverIsPassedOver(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := withSpares(t, 3, nil)
		defer f.close()
		f.spares[3].leaving.Store(true)
		f.spares[4].kill()
		f.stages[1].at(midway, func() { go f.stages[1].kill() })
		r := f.run(t.Context())
		f.judge(t, r)
		is.New(t).Equal(r.attempts, uint32(1))
	})
}

// A stage that takes no new work when the first step comes is replaced; one
// that has begun goes on to the end.
func TestLeavingStageRefusesNewAttemptsOnly(t *testing.T) {
	for _, position := range steps() {
		virtually(t, func(t *testing.T) {
			is := is.New(t)
			f := withSpares(t, 1, nil)
			defer f.close()
			f.stages[0].at(position, func() { f.stages[2].leaving.Store(true) })
			r := f.run(t.Context())
			f.judge(t, r)
			is.Equal(r.attempts, uint32(1))
			is.Equal(f.ran("stage-2"), position > 0)
			is.Equal(f.ran("spare-2-of-2"), position == 0)
		})
	}
}

func (f *fleet) ran(engine string) bool {
	for _, e := range f.journal.All() {
		if e.Engine == engine {
			return true
		}
	}
	return false
}

// An agent that was started anew beside its engine is its own replacement.
func TestRestartedAgentTakesOverFromItself(t *testing.T) {
	virtually(t, func(t *testing.T) {
		f := newFleet(t, recoveryStages, nil)
		defer f.close()
		f.stages[2].at(midway, func() {
			go f.stages[2].restart()
		})
		r := f.run(t.Context())
		is := is.New(t)
		is.NoErr(r.err)
		is.Equal(r.got, f.expected())
		is.Equal(r.attempts, uint32(1))
	})
}

// Without the activations since the last export the request begins anew, and
// the caller sees nothing of it.
func TestBufferTooSmallBeginsANewAttempt(t *testing.T) {
	settings := map[string]func(*saddlestage.Config){
		"buffer full":    func(cfg *saddlestage.Config) { cfg.BufferBytes = 100 },
		"no exports":     func(cfg *saddlestage.Config) { cfg.BufferBytes = 200; cfg.ExportInterval = 0 },
		"export too old": func(cfg *saddlestage.Config) { cfg.BufferBytes = 400; cfg.ExportInterval = 5 },
	}
	for name, settle := range settings {
		for victim := 1; victim < recoveryStages; victim++ {
			t.Run(fmt.Sprintf("%s, stage %d", name, victim), func(t *testing.T) {
				t.Parallel()
				virtually(t, func(t *testing.T) {
					f := withSpares(t, 1, settle)
					defer f.close()
					f.stages[victim].at(11, func() { go f.stages[victim].kill() })
					r := f.run(t.Context())
					f.judge(t, r)
					is.New(t).Equal(r.attempts, uint32(2))
				})
			})
		}
	}
}

// Two agents cannot reach each other, though the head reaches both: the later
// one is replaced.
func TestStageThatItsNeighbourCannotReachIsReplaced(t *testing.T) {
	for stage := range recoveryStages - 1 {
		for _, position := range steps() {
			virtually(t, func(t *testing.T) {
				is := is.New(t)
				f := withSpares(t, 1, nil)
				defer f.close()
				f.noteLost(f.stages[stage+1])
				f.stages[stage].at(position, func() {
					f.net.Block(f.stages[stage].info.GetAddress(), f.stages[stage+1].info.GetAddress())
				})
				r := f.run(t.Context())
				f.judge(t, r)
				is.Equal(r.attempts, uint32(1))
				is.True(f.ran(f.spares[stage+1].info.GetTarget()))
			})
		}
	}
}

// The last stage cannot reach the head, though the head reaches it.
func TestHeadFetchesTheTokenOfAStageThatCannotReachIt(t *testing.T) {
	virtually(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, nil)
		defer f.close()
		f.stages[2].at(midway, func() { f.net.Block("stage-2", "stage-0") })
		r := f.run(t.Context())
		f.judge(t, r)
		is.Equal(r.attempts, uint32(1))
		is.NoErr(saddlestandin.CheckOrder(f.journal.All()))
	})
}

// A slow link is no lost stage.
func TestDegradedLinkReplacesNothing(t *testing.T) {
	for _, delay := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond, 450 * time.Millisecond} {
		virtually(t, func(t *testing.T) {
			is := is.New(t)
			f := withSpares(t, 1, func(cfg *saddlestage.Config) { cfg.LinkSilenceTimeout = 10 * probe })
			defer f.close()
			f.net.SetDelay("stage-1", "stage-2", delay)
			r := f.run(t.Context())
			f.judge(t, r)
			is.Equal(r.attempts, uint32(1))
			is.True(!f.ran("spare-2-of-2"))
		})
	}
}
