package saddleview_test

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

func agentMember(node string, incarnation uint64) *saddlewire.Member {
	return &saddlewire.Member{Node: node, Incarnation: incarnation, Target: &saddlewire.Target{Id: node, Group: "mastori"}}
}

func TestUpdateWithoutChangesReusesMaps(t *testing.T) {
	is := is.New(t)
	b := saddleview.NewBuilder()
	b.Update("a", &saddlewire.Update{Snapshot: true, Revision: 4, Members: []*saddlewire.Member{agentMember("agent-1", 1)}})
	before := b.Build()
	b.Update("a", &saddlewire.Update{Revision: 4, Confirmed: true})
	after := b.Build()
	is.True(after.Confirmed && !before.Confirmed) // the changed field is updated
	is.Equal(reflect.ValueOf(after.Members).Pointer(), reflect.ValueOf(before.Members).Pointer())
	is.Equal(reflect.ValueOf(after.Groups).Pointer(), reflect.ValueOf(before.Groups).Pointer())
}

func TestMembersOfDisconnectedReplicaAreRemoved(t *testing.T) {
	is := is.New(t)
	b := saddleview.NewBuilder()
	b.Update("a", &saddlewire.Update{Snapshot: true, Revision: 4, Members: []*saddlewire.Member{agentMember("agent-1", 1)}})
	b.Update("b", &saddlewire.Update{Snapshot: true, Revision: 4, Members: []*saddlewire.Member{agentMember("agent-2", 1)}})
	is.Equal(len(b.Build().Members), 2)
	b.MarkDisconnected("a")
	is.Equal(len(b.Build().Members), 1)
	b.MarkDisconnected("b")
	is.Equal(len(b.Build().Members), 1) // with no replica connected the previous set remains
	is.Equal(b.Build().Connected, 0)
}

func TestRevisionNeverDecreases(t *testing.T) {
	is := is.New(t)
	b := saddleview.NewBuilder()
	b.Update("a", &saddlewire.Update{Snapshot: true, Revision: 9, Deployments: []*saddlewire.Deployment{{Workspace: "volos", Revision: 2}}})
	is.Equal(b.Build().Revision, uint64(9))
	b.Update("b", &saddlewire.Update{Snapshot: true, Revision: 5, Deployments: []*saddlewire.Deployment{{Workspace: "volos", Revision: 1}}})
	b.Update("a", &saddlewire.Update{Snapshot: true, Revision: 3})
	b.MarkDisconnected("a")
	is.Equal(b.Build().Deployments["volos"].GetRevision(), uint64(2))
}

// A builder that builds after each update ends with the same view as a builder that
// builds once.
func TestViewIsIndependentOfBuildFrequency(t *testing.T) {
	is := is.New(t)
	const runs, steps = 200, 30
	for seed := range uint64(runs) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		often, once := saddleview.NewBuilder(), saddleview.NewBuilder()
		for range steps {
			replica := string(rune('a' + rnd.IntN(3)))
			u := randomUpdate(rnd)
			if rnd.IntN(8) == 0 {
				often.MarkDisconnected(replica)
				once.MarkDisconnected(replica)
			} else {
				often.Update(replica, u)
				once.Update(replica, u)
			}
			often.Build()
		}
		got, want := often.Build(), once.Build()
		if want.Connected == 0 {
			continue // the previous set of members remains, and the builder "once" has built none
		}
		is.Equal(got.Revision, want.Revision)
		is.Equal(got.Confirmed, want.Confirmed)
		is.True(reflect.DeepEqual(got.Members, want.Members))
		is.True(reflect.DeepEqual(got.Groups, want.Groups))
		is.True(reflect.DeepEqual(got.Deployments, want.Deployments))
	}
}

func randomUpdate(rnd *rand.Rand) *saddlewire.Update {
	u := &saddlewire.Update{Snapshot: rnd.IntN(6) == 0, Revision: 1 + uint64(rnd.IntN(4)), Confirmed: rnd.IntN(2) == 0}
	for range rnd.IntN(3) {
		u.Members = append(u.Members, agentMember(string(rune('m'+rnd.IntN(4))), uint64(rnd.IntN(3))))
	}
	if rnd.IntN(4) == 0 {
		u.Gone = []string{string(rune('m' + rnd.IntN(4)))}
	}
	// A revision has the same content at every replica.
	u.Deployments = []*saddlewire.Deployment{{Workspace: "volos", Revision: u.GetRevision()}}
	return u
}

// A replica that confirms a lower revision than it sent before, for example after it lost its
// disk, does not confirm the higher one that the node keeps.
func TestLowerRevisionConfirmsNothing(t *testing.T) {
	is := is.New(t)
	b := saddleview.NewBuilder()
	b.Update("a", &saddlewire.Update{Snapshot: true, Revision: 7})
	b.Update("a", &saddlewire.Update{Revision: 5, Confirmed: true})
	v := b.Build()
	is.Equal(v.Revision, uint64(7))
	is.True(!v.Confirmed)
	b.Update("a", &saddlewire.Update{Revision: 7, Confirmed: true})
	is.True(b.Build().Confirmed)
}
