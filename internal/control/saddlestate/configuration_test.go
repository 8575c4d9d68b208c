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

// group applies commands at rising log indexes.
type group struct {
	t     *testing.T
	state *saddlestate.State
	index uint64
}

func newGroup(t *testing.T) *group { return &group{t: t, state: saddlestate.New()} }

func (g *group) apply(c *saddlewire.Command) *saddlewire.Result {
	g.t.Helper()
	g.index++
	return g.state.Apply(g.index, c)
}

func (g *group) accept(c *saddlewire.Command) *saddlewire.Result {
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

// Of two changes made on the same revision one wins, and the loser is shown
// the winner's revision.
func TestOneOfTwoChangesOnEqualRevisionsWins(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	is.Equal(g.accept(putTemplate("r1", "forms", 0, plainBody)).GetRevision(), uint64(1))
	g.accept(putTemplate("r2", "forms", 1, plainBody+"# winner\n"))
	loser := g.apply(putTemplate("r3", "forms", 1, plainBody+"# loser\n"))
	is.Equal(loser.GetCode(), string(fireflysaddle.CodeRevisionConflict))
	is.Equal(loser.GetRevision(), uint64(2))
	is.True(strings.Contains(g.state.Templates()[0].GetBody(), "winner"))
}

// A resend gets the first result, also after newer revisions and after more
// claims than results are kept.
func TestResendGetsFirstResult(t *testing.T) {
	for name, between := range map[string]func(g *group){
		"at once": func(*group) {},
		"after newer revisions": func(g *group) {
			g.accept(putTemplate("r2", "forms", 1, plainBody+"# newer\n"))
		},
		"after many claims": func(g *group) {
			for i := range 25000 {
				g.apply(settle(fmt.Sprintf("claim-%d", i)))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGroup(t)
			first := g.accept(putTemplate("r1", "forms", 0, plainBody))
			between(g)
			g.state = reload(t, g.state)
			again := g.apply(putTemplate("r1", "forms", 0, plainBody))
			is.True(again.GetAccepted())
			is.Equal(again.GetRevision(), first.GetRevision())
			is.Equal(again.GetIndex(), first.GetIndex())
		})
	}
}

// A request id stands for one change; another change under it is refused, not
// answered with the result of the first.
func TestRequestIDOfAnotherChangeIsRefused(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	g.accept(putTemplate("r1", "forms", 0, plainBody))
	g.state = reload(t, g.state)
	other := g.apply(putTemplate("r1", "forms", 1, plainBody+"# another\n"))
	is.True(!other.GetAccepted())
	is.Equal(other.GetCode(), string(fireflysaddle.CodeInvalid))
}

// A revision of a template must not give one key to two workspaces.
func TestTemplateRevisionGivingOneKeyToTwoWorkspacesIsRefused(t *testing.T) {
	for name, second := range map[string]string{"both of this template": "forms", "one of another template": "meet"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGroup(t)
			withKey := fmt.Sprintf("[deployment]\nkeys = [%q]\nmodels = [{name = \"m\"}]\n", keyA)
			g.accept(putTemplate("", "forms", 0, plainBody))
			g.accept(putTemplate("", "meet", 0, withKey))
			g.accept(putDeployment("", "kgotla", 0, "forms"))
			g.accept(putDeployment("", "karamanlis", 0, second))
			r := g.apply(putTemplate("", "forms", 1, withKey))
			is.True(!r.GetAccepted())
			is.Equal(r.GetCode(), string(fireflysaddle.CodeInvalid))
			is.Equal(g.state.Templates()[0].GetRevision(), uint64(1)) // refused whole
		})
	}
}

func TestCommandWithoutChangeIsRefused(t *testing.T) {
	is := is.New(t)
	is.Equal(newGroup(t).apply(&saddlewire.Command{}).GetCode(), string(fireflysaddle.CodeInvalid))
}

// reload passes the state through a snapshot.
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

// A resend that read a newer base asks for the same change.
func TestResendOnNewerBaseGetsFirstResult(t *testing.T) {
	is := is.New(t)
	g := newGroup(t)
	first := g.accept(putTemplate("r1", "forms", 0, plainBody))
	again := g.apply(putTemplate("r1", "forms", 1, plainBody))
	is.True(again.GetAccepted())
	is.Equal(again.GetIndex(), first.GetIndex())
	is.Equal(g.state.Templates()[0].GetRevision(), uint64(1))
}
