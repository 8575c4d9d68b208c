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

var keyHash = strings.Repeat("ab", 32)

// stateHarness applies commands at increasing log indexes.
type stateHarness struct {
	t     *testing.T
	state *saddlestate.State
	index uint64
}

func newStateHarness(t *testing.T) *stateHarness {
	return &stateHarness{t: t, state: saddlestate.New()}
}

func (h *stateHarness) apply(c *saddlewire.Command) *saddlewire.Result {
	h.t.Helper()
	h.index++
	return h.state.Apply(h.index, c)
}

// mustApply applies a command and fails the test if it is refused.
func (h *stateHarness) mustApply(c *saddlewire.Command) *saddlewire.Result {
	h.t.Helper()
	r := h.apply(c)
	if !r.GetAccepted() {
		h.t.Fatalf("refused: %s: %s", r.GetCode(), r.GetMessage())
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

func settleClaim(request string) *saddlewire.Command {
	return &saddlewire.Command{Request: request, Change: &saddlewire.Command_SettleClaim{
		SettleClaim: &saddlewire.SettleClaim{Workspace: "w", Key: "k"},
	}}
}

// Of two changes with the same base revision only the first is accepted. The
// refusal of the second holds the current revision.
func TestConcurrentChangesOnSameBaseRevision(t *testing.T) {
	is := is.New(t)
	h := newStateHarness(t)
	is.Equal(h.mustApply(putTemplate("r1", "forms", 0, plainBody)).GetRevision(), uint64(1))
	h.mustApply(putTemplate("r2", "forms", 1, plainBody+"# winner\n"))
	second := h.apply(putTemplate("r3", "forms", 1, plainBody+"# loser\n"))
	is.Equal(second.GetCode(), string(fireflysaddle.CodeRevisionConflict))
	is.Equal(second.GetRevision(), uint64(2))
	is.True(strings.Contains(h.state.Templates()[0].GetBody(), "winner"))
}

// A resend returns the result of the first execution. It does so even after newer
// revisions, and after more claim commands than the result window of claims holds.
func TestResendReturnsFirstResult(t *testing.T) {
	for name, beforeResend := range map[string]func(h *stateHarness){
		"at once": func(*stateHarness) {},
		"after newer revisions": func(h *stateHarness) {
			h.mustApply(putTemplate("r2", "forms", 1, plainBody+"# newer\n"))
		},
		"after many claims": func(h *stateHarness) {
			for i := range 25000 {
				h.apply(settleClaim(fmt.Sprintf("claim-%d", i)))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newStateHarness(t)
			first := h.mustApply(putTemplate("r1", "forms", 0, plainBody))
			beforeResend(h)
			h.state = reload(t, h.state)
			resent := h.apply(putTemplate("r1", "forms", 0, plainBody))
			is.True(resent.GetAccepted())
			is.Equal(resent.GetRevision(), first.GetRevision())
			is.Equal(resent.GetIndex(), first.GetIndex())
		})
	}
}

// A request id identifies one change. A different change with the same id is
// refused instead of being answered with the result of the first.
func TestReusedRequestIDIsRefused(t *testing.T) {
	is := is.New(t)
	h := newStateHarness(t)
	h.mustApply(putTemplate("r1", "forms", 0, plainBody))
	h.state = reload(t, h.state)
	other := h.apply(putTemplate("r1", "forms", 1, plainBody+"# another\n"))
	is.True(!other.GetAccepted())
	is.Equal(other.GetCode(), string(fireflysaddle.CodeInvalid))
}

// A template revision that would give the same key to two workspaces is refused.
func TestTemplateRevisionSharingKeyIsRefused(t *testing.T) {
	for name, otherTemplate := range map[string]string{"both workspaces use the template": "forms", "one workspace uses another template": "meet"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newStateHarness(t)
			withKey := fmt.Sprintf("[deployment]\nkeys = [%q]\nmodels = [{name = \"m\"}]\n", keyHash)
			h.mustApply(putTemplate("", "forms", 0, plainBody))
			h.mustApply(putTemplate("", "meet", 0, withKey))
			h.mustApply(putDeployment("", "kgotla", 0, "forms"))
			h.mustApply(putDeployment("", "karamanlis", 0, otherTemplate))
			r := h.apply(putTemplate("", "forms", 1, withKey))
			is.True(!r.GetAccepted())
			is.Equal(r.GetCode(), string(fireflysaddle.CodeInvalid))
			is.Equal(h.state.Templates()[0].GetRevision(), uint64(1)) // unchanged
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
	h := newStateHarness(t)
	first := h.mustApply(putTemplate("r1", "forms", 0, plainBody))
	resent := h.apply(putTemplate("r1", "forms", 1, plainBody))
	is.True(resent.GetAccepted())
	is.Equal(resent.GetIndex(), first.GetIndex())
	is.Equal(h.state.Templates()[0].GetRevision(), uint64(1))
}
