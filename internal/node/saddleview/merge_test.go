package saddleview_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleregistry"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// registryModel merges everything that the replicas have sent from the beginning.
type registryModel struct {
	replicas map[string]map[string]*saddlewire.Registration
	departed map[string]uint64
}

func (m *registryModel) update(replica string, u *saddlewire.Update) {
	if u.GetSnapshot() || m.replicas[replica] == nil {
		m.replicas[replica] = map[string]*saddlewire.Registration{}
	}
	for _, r := range u.GetRegistrations() {
		m.replicas[replica][r.GetId()] = r
	}
	for _, id := range u.GetUnregistered() {
		delete(m.replicas[replica], id)
	}
	for _, d := range u.GetDepartures() {
		m.departed[d.GetTarget()] = max(m.departed[d.GetTarget()], d.GetIncarnation())
	}
}

// registrations returns the latest registration of each target, unless a target with a higher
// incarnation, or with the same one and a smaller id, is at its address.
func (m *registryModel) registrations() map[string]*saddlewire.Registration {
	out := map[string]*saddlewire.Registration{}
	for _, held := range m.replicas {
		for id, r := range held {
			if old, ok := out[id]; !ok || saddleregistry.Newer(r, old) {
				out[id] = r
			}
		}
	}
	latest := map[string]*saddlewire.Registration{}
	for id, r := range out {
		old, ok := latest[r.GetAddress()]
		if !ok || r.GetIncarnation() > old.GetIncarnation() || (r.GetIncarnation() == old.GetIncarnation() && id < old.GetId()) {
			latest[r.GetAddress()] = r
		}
	}
	for id, r := range out {
		if latest[r.GetAddress()] != r {
			delete(out, id)
		}
	}
	return out
}

func drawUpdate(t *rapid.T, sequence uint64) *saddlewire.Update {
	u := &saddlewire.Update{Snapshot: rapid.IntRange(0, 9).Draw(t, "snapshot") == 0}
	drawID := func() string { return fmt.Sprint("t", rapid.IntRange(0, 6).Draw(t, "target")) }
	for i := range rapid.IntRange(0, 3).Draw(t, "registrations") {
		u.Registrations = append(u.Registrations, &saddlewire.Registration{
			Id: drawID(), Address: fmt.Sprint("10.0.0.", rapid.IntRange(0, 4).Draw(t, "address")),
			Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")), Sequence: sequence + uint64(i),
		})
	}
	if rapid.IntRange(0, 3).Draw(t, "removal") == 0 {
		u.Unregistered = []string{drawID()}
	}
	if rapid.IntRange(0, 5).Draw(t, "departure") == 0 {
		u.Departures = []*saddlewire.Departure{{Target: drawID(), Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "departed"))}}
	}
	return u
}

// Views merged by what changed equal views merged from everything that the replicas sent, and
// name all targets that differ from the view before.
func TestMergeOfChangesEqualsWholeMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		builder := saddleview.NewBuilder()
		model := registryModel{replicas: map[string]map[string]*saddlewire.Registration{}, departed: map[string]uint64{}}
		before := builder.Build()
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			replica := fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "replica"))
			if rapid.IntRange(0, 9).Draw(t, "disconnected") == 0 {
				builder.MarkDisconnected(replica)
			} else {
				u := drawUpdate(t, uint64(10*step+1))
				builder.Update(replica, u)
				model.update(replica, u)
			}
			if rapid.Bool().Draw(t, "more before the next view") {
				continue
			}
			v := builder.Build()
			checkRegistrations(t, before, v, model)
			before = v
		}
	})
}

func checkRegistrations(t *rapid.T, before, v *saddleview.View, model registryModel) {
	want := model.registrations()
	if len(v.Registrations) != len(want) {
		t.Fatalf("%d registrations, want %v", len(v.Registrations), want)
	}
	for id, r := range want {
		if v.Registrations[id] != r {
			t.Fatalf("%s is %v, want %v", id, v.Registrations[id], r)
		}
	}
	for i := range 7 {
		id := fmt.Sprint("t", i)
		if v.Departed[id] != model.departed[id] {
			t.Fatalf("incarnation %d of %s departed, want %d", v.Departed[id], id, model.departed[id])
		}
		same := before.Registrations[id] == v.Registrations[id] && before.Departed[id] == v.Departed[id]
		if same {
			continue
		}
		if v.RegistryVersion != before.RegistryVersion+1 || !slices.Contains(v.RegistryChanges, id) {
			t.Fatalf("change of %s is not named", id)
		}
	}
}
