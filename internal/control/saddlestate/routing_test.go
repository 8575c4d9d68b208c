package saddlestate_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestate"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

func putRouting(version uint64, content string) *saddlewire.Command {
	return &saddlewire.Command{Change: &saddlewire.Command_PutRouting{
		PutRouting: &saddlewire.PutRouting{Version: version, Content: []byte(content)},
	}}
}

func putDeparture(target string, incarnation uint64, now time.Duration) *saddlewire.Command {
	return &saddlewire.Command{NowNs: int64(now), Change: &saddlewire.Command_PutDeparture{
		PutDeparture: &saddlewire.PutDeparture{Target: target, Incarnation: incarnation},
	}}
}

func TestHighestRoutingVersionIsInForce(t *testing.T) {
	is := is.New(t)
	s := saddlestate.New()
	for i, c := range []struct {
		version uint64
		content string
		want    string
	}{{5, "five", "five"}, {4, "four", "five"}, {5, "other five", "five"}, {9, "nine", "nine"}, {5, "five", "nine"}, {9, "nine", "nine"}} {
		r := s.Apply(uint64(i+1), putRouting(c.version, c.content))
		is.True(r.GetAccepted()) // even if nothing changes
		is.Equal(string(s.Routing().GetContent()), c.want)
		is.Equal(r.GetRevision(), s.Routing().GetVersion())
	}
	is.Equal(s.Revision(), uint64(4)) // a command without effect does not advance the revision
	r := s.Apply(20, putRouting(0, "none"))
	is.Equal(r.GetCode(), string(fireflysaddle.CodeInvalid))
}

// Guards against a configuration that opens all routes because the list of tenants is left
// out once the last tenant is taken away.
func TestKeysStayRequiredWithoutAListOfTenants(t *testing.T) {
	is := is.New(t)
	s := saddlestate.New()
	s.Apply(1, putRouting(1, "no list"))
	is.True(!s.Routing().GetRequiresKey())
	keyed := putRouting(3, "tenants")
	keyed.GetPutRouting().RequiresKey = true
	s.Apply(2, keyed)
	is.True(s.Routing().GetRequiresKey())
	s.Apply(3, putRouting(4, "no list"))
	is.Equal(s.Routing().GetVersion(), uint64(4))
	is.True(s.Routing().GetRequiresKey())
	data, err := s.Encode()
	is.NoErr(err)
	restored, err := saddlestate.Decode(data)
	is.NoErr(err)
	is.True(restored.Routing().GetRequiresKey())
}

func TestDepartureAppliesToIncarnation(t *testing.T) {
	is := is.New(t)
	s := saddlestate.New()
	is.True(s.Apply(1, putDeparture("a", 7, 0)).GetAccepted())
	is.True(s.Departed("a", 7))
	is.True(s.Departed("a", 6))
	is.True(!s.Departed("a", 8)) // a later incarnation
	is.True(!s.Departed("b", 7))
	is.True(s.Apply(2, putDeparture("a", 7, time.Second)).GetAccepted())
	is.Equal(s.Revision(), uint64(1))
	is.Equal(len(s.DeparturesSince(0)), 1)
	is.Equal(len(s.DeparturesSince(1)), 0)
	s.Apply(3, putDeparture("b", 1, time.Hour))
	is.True(!s.Departed("a", 7)) // its retention period is over
}

func TestRoutingAndDeparturesAreRestoredFromSnapshot(t *testing.T) {
	is := is.New(t)
	s := saddlestate.New()
	s.Apply(1, putRouting(5, "five"))
	s.Apply(2, putDeparture("a", 7, 0))
	data, err := s.Encode()
	is.NoErr(err)
	restored, err := saddlestate.Decode(data)
	is.NoErr(err)
	is.Equal(string(restored.Routing().GetContent()), "five")
	is.True(restored.Departed("a", 7))
	is.Equal(restored.Revision(), s.Revision())
}
