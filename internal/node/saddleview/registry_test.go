package saddleview_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

func registered(id string, incarnation, sequence uint64) *saddlewire.Registration {
	return &saddlewire.Registration{Id: id, Address: "10.0.0.1:80", Incarnation: incarnation, Sequence: sequence}
}

func says(r ...*saddlewire.Registration) *saddlewire.Update {
	return &saddlewire.Update{Registrations: r}
}

// A target reports now to one replica and now to another; the last word counts.
func TestTheLastWordOfATargetCounts(t *testing.T) {
	is := is.New(t)
	b := saddleview.NewBuilder()
	b.Update("r1", says(registered("a", 1, 9)))
	b.Update("r2", says(registered("a", 1, 4)))
	is.Equal(b.Build().Registrations["a"].GetSequence(), uint64(9))
	b.Update("r2", says(registered("a", 2, 1)))
	is.Equal(b.Build().Registrations["a"].GetIncarnation(), uint64(2))
	b.Update("r2", &saddlewire.Update{Unregistered: []string{"a"}})
	is.Equal(b.Build().Registrations["a"].GetIncarnation(), uint64(1)) // as the other one knows it
	b.Update("r1", &saddlewire.Update{Unregistered: []string{"a"}})
	is.Equal(len(b.Build().Registrations), 0)
}

func TestATargetStaysWhenItsReplicaIsLost(t *testing.T) {
	is := is.New(t)
	b := saddleview.NewBuilder()
	b.Update("r1", says(registered("a", 1, 9)))
	b.Lost("r1")
	is.Equal(len(b.Build().Registrations), 1)
	b.Update("r2", says(registered("b", 2, 1)))
	is.Equal(len(b.Build().Registrations), 1) // its address belongs to another one now
	is.True(b.Build().Registrations["b"] != nil)
}

func TestADepartureIsNeverForgotten(t *testing.T) {
	is := is.New(t)
	b := saddleview.NewBuilder()
	reg := registered("a", 3, 1)
	b.Update("r1", &saddlewire.Update{Departures: []*saddlewire.Departure{{Target: "a", Incarnation: 3}}})
	b.Update("r2", says(reg))
	b.Lost("r1")
	is.True(b.Build().Leaving(reg))
	b.Update("r1", &saddlewire.Update{Snapshot: true})
	is.True(b.Build().Leaving(reg))
	is.True(!b.Build().Leaving(registered("a", 4, 1)))
}

// What a node knows is as fresh as its heartbeat that the latest confirmed update
// answers, and only replicas that hold the newest routing are asked for it.
func TestFreshnessAndSourcesOfTheRouting(t *testing.T) {
	is := is.New(t)
	b := saddleview.NewBuilder()
	b.Update("r1", &saddlewire.Update{Routing: 5, Confirmed: true, EchoNs: 100})
	b.Update("r2", &saddlewire.Update{Routing: 4, EchoNs: 900}) // not confirmed
	b.Update("r3", &saddlewire.Update{Routing: 5, EchoNs: 950})
	v := b.Build()
	is.Equal(v.Routing, uint64(5))
	is.Equal(v.RoutingSources, []string{"r1", "r3"})
	is.Equal(v.ConfirmedNs, int64(100))
	b.Lost("r1")
	v = b.Build()
	is.Equal(v.RoutingSources, []string{"r3"})
	is.Equal(v.ConfirmedNs, int64(100))
}
