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

// An entry that is told to stop goes on accepting for its lame-duck time, lets
// a long stream end, and exits with 0.
func TestAStoppedEntryCutsNoStreamAndServesWhileTheBalancerReacts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, "3s")
	f.target(t, "drafting-1", 0, layers)
	f.awaitTargets(t, 1)
	tokens := f.streamOf(t, f.entry.Listen, outlastTokens, func() {
		f.entry.Signal(syscall.SIGTERM)
		saddleprocess.Await(t, "the entry to turn unready", awaitTime, f.unready)
		is.Equal(len(awaitDraft(t, f.entry.Listen, "sent by the balancer still", 2)), 2)
	})
	is.Equal(tokens, saddlestandin.ExpectedTokens(longPrompt, layers, outlastTokens))
	f.entry.Stop(t)
}

// outlastTokens take longer than the lame-duck time of 3 s.
const outlastTokens = 500

func (f *fixture) unready() error {
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

// An agent that is told to stop lets the stream in progress end, gets nothing
// new, and exits with 0; the stage may be the only one, the head, the middle or
// the last.
func TestAStoppedAgentCutsNoStreamAndGetsNothingNew(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		bound []uint32 // boundaries of the stages
		stops int      // stage that is stopped
	}{
		{"whole model", []uint32{0, layers}, 0},
		{"head of a chain", []uint32{0, 2, 4, layers}, 0},
		{"middle of a chain", []uint32{0, 2, 4, layers}, 1},
		{"end of a chain", []uint32{0, 2, 4, layers}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, "0s")
			agents := map[string]*saddleprocess.Agent{}
			for i := range len(c.bound) - 1 {
				for _, half := range []string{"a", "b"} {
					id := fmt.Sprintf("stage-%d%s", i, half)
					_, agents[id] = f.target(t, id, c.bound[i], c.bound[i+1])
				}
			}
			f.awaitTargets(t, len(agents))
			var stopped string
			var before int
			tokens := f.stream(t, f.entry.Listen, func() {
				stopped = f.stageOfLastStart(c.bound[c.stops])
				agents[stopped].Signal(syscall.SIGTERM)
				f.awaitLeft(t, stopped)
				before = f.startsAt(stopped)
				for range 8 {
					awaitDraft(t, f.entry.Listen, "while it leaves", 2)
				}
				is.Equal(f.startsAt(stopped), before) // nothing new
			})
			is.Equal(tokens, expectedLong())
			is.Equal(f.cutOff(), "") // it went on to its end where it ran
			is.NoErr(saddlestandin.CheckOrder(f.journal.All()))
			agents[stopped].Stop(t)
		})
	}
}

// stageOfLastStart returns the engine at a layer that began the attempt that
// began last.
func (f *fixture) stageOfLastStart(layer uint32) string {
	starts := f.starts()
	for i := len(starts) - 1; i >= 0; i-- {
		if starts[i].LayerFrom == layer {
			return starts[i].Engine
		}
	}
	return ""
}

// awaitLeft waits until control no longer offers a target, or says that it is
// leaving.
func (f *fixture) awaitLeft(t testing.TB, target string) {
	t.Helper()
	client := f.Client(t)
	saddleprocess.Await(t, target+" to leave", awaitTime, func() error {
		state, err := readState(client)
		if err != nil {
			return err
		}
		for _, m := range state.GetMembers() {
			if m.GetTarget().GetId() == target && !m.GetLeaving() {
				return fmt.Errorf("target %s is not leaving", target)
			}
		}
		return nil
	})
}

// A drained target gets nothing new once the drain is in force, and work again
// after undrain. The drain comes from the operator or from the target itself.
func TestADrainedTargetGetsNothingNew(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		drain func(t testing.TB, f *fixture, a *saddleprocess.Agent)
		back  func(t testing.TB, f *fixture)
	}{
		{
			"by the operator",
			func(t testing.TB, f *fixture, _ *saddleprocess.Agent) {
				f.RunSaddlectl(t, "drain", "drafting-1", "-wait")
			},
			func(t testing.TB, f *fixture) { f.RunSaddlectl(t, "undrain", "drafting-1", "-wait") },
		},
		{"by the target", leave, nil},
		{
			"by the target while control is lost",
			func(t testing.TB, f *fixture, a *saddleprocess.Agent) {
				for _, c := range f.Controls {
					c.Kill()
				}
				leave(t, f, a)
			},
			nil,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, "0s")
			_, agent := f.target(t, "drafting-1", 0, layers)
			f.target(t, "drafting-2", 0, layers)
			f.awaitTargets(t, 2)
			f.awaitStartAt(t, "drafting-1")
			c.drain(t, f, agent)
			before := f.startsAt("drafting-1")
			for range 16 {
				awaitDraft(t, f.entry.Listen, "after the drain", 2)
			}
			is.Equal(f.startsAt("drafting-1"), before)
			if c.back != nil {
				c.back(t, f)
				f.awaitStartAt(t, "drafting-1")
			}
		})
	}
}

func leave(t testing.TB, _ *fixture, a *saddleprocess.Agent) {
	t.Helper()
	reply, err := saddleannounce.SendLeave(context.Background(), http.DefaultClient, a.Announce, saddleannounce.Leave{ID: "drafting-1", Incarnation: 1})
	if err != nil || !reply.Accepted {
		t.Fatalf("leave: %v %s", err, reply.Reason)
	}
}

// awaitStartAt sends drafts until one begins at an engine.
func (f *fixture) awaitStartAt(t testing.TB, engine string) {
	t.Helper()
	before := f.startsAt(engine)
	saddleprocess.Await(t, "a draft at "+engine, awaitTime, func() error {
		awaitDraft(t, f.entry.Listen, "to any of them", 2)
		if f.startsAt(engine) == before {
			return fmt.Errorf("no draft began at %s", engine)
		}
		return nil
	})
}

// A leader that is told to stop exits with 0 and another one takes over.
func TestAStoppedLeaderIsReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, "0s")
	state, err := readState(f.Client(t))
	is.NoErr(err)
	old := leaderOf(state)
	for _, c := range f.Controls {
		if c.Node == old {
			c.Stop(t)
		}
	}
	f.RunSaddlectl(t, "drain", "nobody", "-wait")
	state, err = readState(f.Client(t))
	is.NoErr(err)
	is.True(leaderOf(state) != old)
}
