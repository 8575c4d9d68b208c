package saddledaemon_test

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
)

// An entry that receives SIGTERM reports not ready, accepts requests for its lame-duck
// period, finishes a longer stream, and exits with 0.
func TestStoppedEntryFinishesStreamsAndServesDuringLameDuck(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, "3s")
	f.startTarget(t, "drafting-1", 0, layers)
	f.awaitTargets(t, 1)
	tokens := f.streamTokens(t, f.entry.Listen, lameDuckExceedingTokens, func() {
		f.entry.Signal(syscall.SIGTERM)
		saddleprocess.Await(t, "the entry to report not ready", awaitTimeout, f.checkNotReady)
		is.Equal(len(awaitDraft(t, f.entry.Listen, "sent during the lame-duck period", 2)), 2)
	})
	is.Equal(tokens, saddlestandin.ExpectedTokens(longPrompt, layers, lameDuckExceedingTokens))
	f.entry.Stop(t)
}

// Guards against a stream being cut by signals that follow the first SIGTERM, to the entry or to
// the agent that serves it.
func TestFurtherSignalsDoNotCutStreamsOfAShutdown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, "100ms")
	_, agent := f.startTarget(t, "drafting-1", 0, layers)
	f.awaitTargets(t, 1)
	tokens := f.streamLong(t, f.entry.Listen, func() {
		for range 2 {
			for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
				f.entry.Signal(sig)
				agent.Signal(sig)
			}
		}
	})
	is.Equal(tokens, expectedLongTokens())
	is.Equal(f.interruption(), "")
	f.entry.Stop(t)
	agent.Stop(t)
}

// lameDuckExceedingTokens is a number of tokens that take longer than the lame-duck
// period of 3 s.
const lameDuckExceedingTokens = 500

func (f *fixture) checkNotReady() error {
	resp, err := http.Get("http://" + f.entry.Admin + "/ready")
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// An agent that receives SIGTERM finishes the stream in progress, gets no new work, and
// exits with 0. Its engine holds the whole model, or the head, a middle or the last stage of
// a chain.
func TestStoppedAgentFinishesStreamsAndGetsNoNewWork(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name         string
		boundaries   []uint32 // boundaries of the stages
		stoppedStage int      // index of the stage whose agent is stopped
	}{
		{"whole model", []uint32{0, layers}, 0},
		{"head of a chain", []uint32{0, 2, 4, layers}, 0},
		{"middle stage of a chain", []uint32{0, 2, 4, layers}, 1},
		{"last stage of a chain", []uint32{0, 2, 4, layers}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, "0s")
			agents := map[string]*saddleprocess.Agent{}
			for i := range len(c.boundaries) - 1 {
				for _, suffix := range []string{"a", "b"} {
					id := fmt.Sprintf("stage-%d%s", i, suffix)
					_, agents[id] = f.startTarget(t, id, c.boundaries[i], c.boundaries[i+1])
				}
			}
			f.awaitTargets(t, len(agents))
			var stopped string
			var before int
			tokens := f.streamLong(t, f.entry.Listen, func() {
				stopped = f.engineOfLastStart(c.boundaries[c.stoppedStage])
				agents[stopped].Signal(syscall.SIGTERM)
				f.awaitLeaving(t, stopped)
				before = f.attemptStartsAt(stopped)
				for range 8 {
					awaitDraft(t, f.entry.Listen, "during the shutdown", 2)
				}
				is.Equal(f.attemptStartsAt(stopped), before) // no new work
			})
			is.Equal(tokens, expectedLongTokens())
			is.Equal(f.interruption(), "") // finished in the same attempt at the same engines
			is.NoErr(saddlestandin.CheckOrder(f.journal.All()))
			agents[stopped].Stop(t)
		})
	}
}

// engineOfLastStart returns the engine that most recently ran token position 0 for the
// stage that starts at firstLayer, or "" if there is none.
func (f *fixture) engineOfLastStart(firstLayer uint32) string {
	starts := f.attemptStarts()
	for i := len(starts) - 1; i >= 0; i-- {
		if starts[i].LayerFrom == firstLayer {
			return starts[i].Engine
		}
	}
	return ""
}

// awaitLeaving waits until control lists a target as leaving or no longer lists it.
func (f *fixture) awaitLeaving(t testing.TB, target string) {
	t.Helper()
	client := f.Client(t)
	saddleprocess.Await(t, target+" to be listed as leaving or no longer listed", awaitTimeout, func() error {
		state, err := readState(client)
		if err != nil {
			return err
		}
		for _, m := range state.GetMembers() {
			if m.GetTarget().GetId() == target && !m.GetLeaving() {
				return fmt.Errorf("target %s is listed as not leaving", target)
			}
		}
		return nil
	})
}

// A drained target gets no new work once the drain is in force, and gets work again after
// an undrain. The operator or the target itself starts the drain.
func TestDrainedTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		drain   func(t testing.TB, f *fixture, a *saddleprocess.Agent)
		undrain func(t testing.TB, f *fixture)
	}{
		{
			"by the operator",
			func(t testing.TB, f *fixture, _ *saddleprocess.Agent) {
				f.RunSaddlectl(t, "drain", "drafting-1", "-wait")
			},
			func(t testing.TB, f *fixture) { f.RunSaddlectl(t, "undrain", "drafting-1", "-wait") },
		},
		{"by the target", sendLeave, nil},
		{
			"by the target while control is lost",
			func(t testing.TB, f *fixture, a *saddleprocess.Agent) {
				for _, c := range f.Controls {
					c.Kill()
				}
				sendLeave(t, f, a)
			},
			nil,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, "0s")
			_, agent := f.startTarget(t, "drafting-1", 0, layers)
			f.startTarget(t, "drafting-2", 0, layers)
			f.awaitTargets(t, 2)
			f.awaitAttemptStartAt(t, "drafting-1")
			c.drain(t, f, agent)
			before := f.attemptStartsAt("drafting-1")
			for range 16 {
				awaitDraft(t, f.entry.Listen, "after the drain", 2)
			}
			is.Equal(f.attemptStartsAt("drafting-1"), before)
			if c.undrain != nil {
				c.undrain(t, f)
				f.awaitAttemptStartAt(t, "drafting-1")
			}
		})
	}
}

func sendLeave(t testing.TB, _ *fixture, a *saddleprocess.Agent) {
	t.Helper()
	reply, err := saddleannounce.SendLeave(context.Background(), http.DefaultClient, a.Announce, saddleannounce.Leave{ID: "drafting-1", Incarnation: 1})
	if err != nil || !reply.Accepted {
		t.Fatalf("leave: %v %s", err, reply.Reason)
	}
}

// awaitAttemptStartAt sends drafts until one starts at the given engine.
func (f *fixture) awaitAttemptStartAt(t testing.TB, engine string) {
	t.Helper()
	before := f.attemptStartsAt(engine)
	saddleprocess.Await(t, "a draft at "+engine, awaitTimeout, func() error {
		awaitDraft(t, f.entry.Listen, "to either engine", 2)
		if f.attemptStartsAt(engine) == before {
			return fmt.Errorf("no draft started at %s", engine)
		}
		return nil
	})
}

// A control leader that receives SIGTERM exits with 0, and another replica becomes leader.
func TestStoppedLeaderIsReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, "0s")
	state, err := readState(f.Client(t))
	is.NoErr(err)
	old := leaderID(state)
	for _, c := range f.Controls {
		if c.Node == old {
			c.Stop(t)
		}
	}
	f.RunSaddlectl(t, "drain", "nobody", "-wait") // succeeds only with a new leader
	state, err = readState(f.Client(t))
	is.NoErr(err)
	is.True(leaderID(state) != old)
}
