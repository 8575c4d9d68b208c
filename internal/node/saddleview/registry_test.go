package saddleview_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

func registration(id string, incarnation, sequence uint64) *saddlewire.Registration {
	return &saddlewire.Registration{Id: id, Address: "10.0.0.1:80", Incarnation: incarnation, Sequence: sequence}
}

func registrationUpdate(r ...*saddlewire.Registration) *saddlewire.Update {
	return &saddlewire.Update{Registrations: r}
}

// A target may register with different replicas in turn; the latest
// registration is used.
func TestLatestRegistrationWins(t *testing.T) {
	is := is.New(t)
	b := saddleview.NewBuilder()
	b.Update("r1", registrationUpdate(registration("a", 1, 9)))
	b.Update("r2", registrationUpdate(registration("a", 1, 4)))
	is.Equal(b.Build().Registrations["a"].GetSequence(), uint64(9))
	b.Update("r2", registrationUpdate(registration("a", 2, 1)))
	is.Equal(b.Build().Registrations["a"].GetIncarnation(), uint64(2))
	b.Update("r2", &saddlewire.Update{Unregistered: []string{"a"}})
	is.Equal(b.Build().Registrations["a"].GetIncarnation(), uint64(1)) // r1 still has the registration of incarnation 1
	b.Update("r1", &saddlewire.Update{Unregistered: []string{"a"}})
	is.Equal(len(b.Build().Registrations), 0)
}

func TestRegistrationOutlivesItsReplica(t *testing.T) {
	is := is.New(t)
	b := saddleview.NewBuilder()
	b.Update("r1", registrationUpdate(registration("a", 1, 9)))
	b.MarkDisconnected("r1")
	is.Equal(len(b.Build().Registrations), 1)
	b.Update("r2", registrationUpdate(registration("b", 2, 1)))
	is.Equal(len(b.Build().Registrations), 1) // b has replaced a at the same address
	is.True(b.Build().Registrations["b"] != nil)
}

func TestDepartureIsRetained(t *testing.T) {
	is := is.New(t)
	b := saddleview.NewBuilder()
	reg := registration("a", 3, 1)
	b.Update("r1", &saddlewire.Update{Departures: []*saddlewire.Departure{{Target: "a", Incarnation: 3}}})
	b.Update("r2", registrationUpdate(reg))
	b.MarkDisconnected("r1")
	is.True(b.Build().Leaving(reg))
	b.Update("r1", &saddlewire.Update{Snapshot: true})
	is.True(b.Build().Leaving(reg))
	is.True(!b.Build().Leaving(registration("a", 4, 1)))
}

// The view is as fresh as the heartbeat that the latest confirmed update answers,
// and the routing is requested only from replicas that hold the newest version.
func TestRoutingSourcesAndFreshness(t *testing.T) {
	is := is.New(t)
	b := saddleview.NewBuilder()
	b.Update("r1", &saddlewire.Update{Routing: 5, Confirmed: true, EchoNs: 100})
	b.Update("r2", &saddlewire.Update{Routing: 4, EchoNs: 900}) // not confirmed
	b.Update("r3", &saddlewire.Update{Routing: 5, EchoNs: 950})
	v := b.Build()
	is.Equal(v.RoutingVersion, uint64(5))
	is.Equal(v.RoutingSources, []string{"r1", "r3"})
	is.Equal(v.ConfirmedNs, int64(100))
	b.MarkDisconnected("r1")
	v = b.Build()
	is.Equal(v.RoutingSources, []string{"r3"})
	is.Equal(v.ConfirmedNs, int64(100))
}
