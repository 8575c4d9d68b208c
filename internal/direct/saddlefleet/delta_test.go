package saddlefleet_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// drawRegistration draws a registration of one of a few targets at one of a few addresses. An
// incarnation stays at its address.
func drawRegistration(t *rapid.T, sequence uint64) *saddlewire.Registration {
	incarnation := uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))
	n := rapid.IntRange(0, 6).Draw(t, "target")
	r := &saddlewire.Registration{
		Id: fmt.Sprint("t", n), Address: fmt.Sprint("10.0.0.", (7*uint64(n)+incarnation)%5), Incarnation: incarnation, Sequence: sequence,
		Group: "drafts", Centre: fmt.Sprint("c", n%2), Accelerator: "big", Leaving: rapid.IntRange(0, 5).Draw(t, "leaving") == 0,
	}
	if to := rapid.Uint32Range(0, 3).Draw(t, "layers"); to > 0 {
		r.Layers = []*saddlewire.HeldLayers{{To: to}}
	}
	return r
}

// A fleet that follows every view finds the same targets as one that starts with the last view,
// and one that misses views.
func TestFleetFollowsViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, late := newFixture(), newFixture()
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			u := &saddlewire.Update{Snapshot: rapid.IntRange(0, 9).Draw(t, "snapshot") == 0}
			for i := range rapid.IntRange(0, 3).Draw(t, "registrations") {
				u.Registrations = append(u.Registrations, drawRegistration(t, uint64(10*step+i+1)))
			}
			if rapid.IntRange(0, 3).Draw(t, "removal") == 0 {
				u.Unregistered = []string{fmt.Sprint("t", rapid.IntRange(0, 6).Draw(t, "removed"))}
			}
			f.update(u)
			view := f.builder.Build()
			if rapid.IntRange(0, 2).Draw(t, "seen") == 0 {
				late.fleet.Update(start, view)
			}
			fresh := newFixture()
			fresh.fleet.Update(start, view)
			if !slices.Equal(f.fleet.Index(), fresh.fleet.Index()) {
				t.Fatalf("%v, want %v", f.fleet.Index(), fresh.fleet.Index())
			}
		}
		late.fleet.Update(start, f.builder.Build())
		if !slices.Equal(f.fleet.Index(), late.fleet.Index()) {
			t.Fatalf("%v, want %v", late.fleet.Index(), f.fleet.Index())
		}
	})
}
