package saddlestage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlestage"
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
	for name, lose := range losses {
		for victim := 1; victim < recoveryStages; victim++ {
			for worker := range recoveryStages {
				for _, position := range steps() {
					t.Run(fmt.Sprintf("%s %d while %d runs %d", name, victim, worker, position), func(t *testing.T) {
						t.Parallel()
						virtually(t, func(t *testing.T) {
							f := withSpares(t, 1, nil)
							defer f.close()
							f.stages[worker].at(position, func() { lose(f.stages[victim]) })
							r := f.run(t.Context())
							f.judge(t, r)
							is.New(t).Equal(r.attempts, uint32(1)) // no restart
						})
					})
				}
			}
		}
	}
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
							f := withSpares(t, 1, func(cfg *saddlestage.Config) { cfg.ExportEvery = every })
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
		"no exports":     func(cfg *saddlestage.Config) { cfg.BufferBytes = 200; cfg.ExportEvery = 0 },
		"export too old": func(cfg *saddlestage.Config) { cfg.BufferBytes = 400; cfg.ExportEvery = 5 },
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

// A slow link is no lost stage.
func TestDegradedLinkReplacesNothing(t *testing.T) {
	for _, delay := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond, 450 * time.Millisecond} {
		virtually(t, func(t *testing.T) {
			is := is.New(t)
			f := withSpares(t, 1, func(cfg *saddlestage.Config) { cfg.Silence = 10 * probe })
			defer f.close()
			f.net.Delay("stage-1", "stage-2", delay)
			r := f.run(t.Context())
			f.judge(t, r)
			is.Equal(r.attempts, uint32(1))
			is.True(!f.ran("spare-2-of-2"))
		})
	}
}
