package saddlestate_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestate"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const plainBody = `[deployment]
models = [{name = "drafting-models"}]
`

var keyA = strings.Repeat("ab", 32)

// stateHarness applies commands at increasing log indexes.
type stateHarness struct {
	t     *testing.T
	state *saddlestate.State
	index uint64
}

func newStateHarness(t *testing.T) *stateHarness {
	return &stateHarness{t: t, state: saddlestate.New()}
}

func (g *stateHarness) apply(c *saddlewire.Command) *saddlewire.Result {
	g.t.Helper()
	g.index++
	return g.state.Apply(g.index, c)
}

func (g *stateHarness) accept(c *saddlewire.Command) *saddlewire.Result {
	g.t.Helper()
	r := g.apply(c)
	if !r.GetAccepted() {
		g.t.Fatalf("refused: %s: %s", r.GetCode(), r.GetMessage())
	}
	return r
}

func putTemplate(request, name string, base uint64, body string) *saddlewire.Command {
	return &saddlewire.Command{Request: request, Change: &saddlewire.Command_PutTemplate{
		PutTemplate: &saddlewire.PutTemplate{Name: name, Base: base, Body: body},
	}}
}

func putDeployment(request, workspace string, base uint64, template string) *saddlewire.Command {
	return &saddlewire.Command{Request: request, Change: &saddlewire.Command_PutDeployment{
		PutDeployment: &saddlewire.PutDeployment{Workspace: workspace, Base: base, Template: template},
	}}
}

func settle(request string) *saddlewire.Command {
	return &saddlewire.Command{Request: request, Change: &saddlewire.Command_SettleClaim{
		SettleClaim: &saddlewire.SettleClaim{Workspace: "w", Key: "k"},
	}}
}

// Of two changes with the same base revision only the first is accepted. The
// refusal of the second holds the current revision.
func TestConcurrentChangesOnSameBaseRevision(t *testing.T) {
	is := is.New(t)
	g := newStateHarness(t)
	is.Equal(g.accept(putTemplate("r1", "forms", 0, plainBody)).GetRevision(), uint64(1))
	g.accept(putTemplate("r2", "forms", 1, plainBody+"# winner\n"))
	loser := g.apply(putTemplate("r3", "forms", 1, plainBody+"# loser\n"))
	is.Equal(loser.GetCode(), string(fireflysaddle.CodeRevisionConflict))
	is.Equal(loser.GetRevision(), uint64(2))
	is.True(strings.Contains(g.state.Templates()[0].GetBody(), "winner"))
}

// A resend returns the first result, also after newer revisions and after more
// commands on claims than the result window holds.
func TestResendReturnsFirstResult(t *testing.T) {
	for name, between := range map[string]func(g *stateHarness){
		"at once": func(*stateHarness) {},
		"after newer revisions": func(g *stateHarness) {
			g.accept(putTemplate("r2", "forms", 1, plainBody+"# newer\n"))
		},
		"after many claims": func(g *stateHarness) {
			for i := range 25000 {
				g.apply(settle(fmt.Sprintf("claim-%d", i)))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newStateHarness(t)
			first := g.accept(putTemplate("r1", "forms", 0, plainBody))
			between(g)
			g.state = reload(t, g.state)
			resent := g.apply(putTemplate("r1", "forms", 0, plainBody))
			is.True(resent.GetAccepted())
			is.Equal(resent.GetRevision(), first.GetRevision())
			is.Equal(resent.GetIndex(), first.GetIndex())
		})
	}
}

// A request id identifies one change. Another change under the same id is
// refused instead of being answered with the result of the first.
func TestReusedRequestIDIsRefused(t *testing.T) {
	is := is.New(t)
	g := newStateHarness(t)
	g.accept(putTemplate("r1", "forms", 0, plainBody))
	g.state = reload(t, g.state)
	other := g.apply(putTemplate("r1", "forms", 1, plainBody+"# another\n"))
	is.True(!other.GetAccepted())
	is.Equal(other.GetCode(), string(fireflysaddle.CodeInvalid))
}

// A template revision that would give the same key to two workspaces is refused.
func TestTemplateRevisionSharingKeyIsRefused(t *testing.T) {
	for name, otherTemplate := range map[string]string{"both of this template": "forms", "one of another template": "meet"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newStateHarness(t)
			withKey := fmt.Sprintf("[deployment]\nkeys = [%q]\nmodels = [{name = \"m\"}]\n", keyA)
			g.accept(putTemplate("", "forms", 0, plainBody))
			g.accept(putTemplate("", "meet", 0, withKey))
			g.accept(putDeployment("", "kgotla", 0, "forms"))
			g.accept(putDeployment("", "karamanlis", 0, otherTemplate))
			r := g.apply(putTemplate("", "forms", 1, withKey))
			is.True(!r.GetAccepted())
			is.Equal(r.GetCode(), string(fireflysaddle.CodeInvalid))
			is.Equal(g.state.Templates()[0].GetRevision(), uint64(1)) // unchanged
		})
	}
}

func TestCommandWithoutChangeIsRefused(t *testing.T) {
	is := is.New(t)
	is.Equal(newStateHarness(t).apply(&saddlewire.Command{}).GetCode(), string(fireflysaddle.CodeInvalid))
}

// reload encodes the state as a snapshot and decodes it.
func reload(t *testing.T, s *saddlestate.State) *saddlestate.State {
	t.Helper()
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	out, err := saddlestate.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// A resend may carry a newer base revision and is still the same change.
func TestResendOnNewerBaseReturnsFirstResult(t *testing.T) {
	is := is.New(t)
	g := newStateHarness(t)
	first := g.accept(putTemplate("r1", "forms", 0, plainBody))
	resent := g.apply(putTemplate("r1", "forms", 1, plainBody))
	is.True(resent.GetAccepted())
	is.Equal(resent.GetIndex(), first.GetIndex())
	is.Equal(g.state.Templates()[0].GetRevision(), uint64(1))
}
