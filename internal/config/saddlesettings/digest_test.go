package saddlesettings_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
)

func gatewayOn(node, centre, ip string) saddlesettings.Gateway {
	s := saddlesettings.DefaultGateway()
	s.Node, s.Centre, s.Listen, s.Admin = node, centre, ip+":8227", ip+":8220"
	return s
}

// An operator compares digests to see which processes use other settings. They must not
// differ because the processes run on different VMs.
func TestDigestLeavesOutIdentity(t *testing.T) {
	is := is.New(t)
	one, other := gatewayOn("front-a-1", "a", "10.1.0.4"), gatewayOn("front-b-7", "b", "10.2.0.9")
	is.Equal(one.Digest(), other.Digest())
	other.KeyLease = saddlesettings.Duration(9 * time.Second)
	is.True(one.Digest() != other.Digest())
	is.True(saddlesettings.DefaultControl().Digest() != saddlesettings.DefaultEntry().Digest())
	first := saddlesettings.DefaultControl()
	first.Group.Bootstrap = true
	is.Equal(first.Digest(), saddlesettings.DefaultControl().Digest())
}

func TestReloadNamesKeysThatNeedARestart(t *testing.T) {
	is := is.New(t)
	inForce := gatewayOn("front-a-1", "a", "10.1.0.4")
	next := inForce
	next.KeyLease, next.RetryReserve = saddlesettings.Duration(time.Second), 7
	next.Attend.Controls = []string{"10.1.0.5:7340"}
	is.NoErr(inForce.CheckReload(next))
	next.Listen, next.TimelineCapacity = "10.1.0.4:9000", 5
	var refused *saddlesettings.ReloadError
	is.True(errors.As(inForce.CheckReload(next), &refused))
	is.Equal(refused.Keys, []string{"listen", "timeline"})
}
