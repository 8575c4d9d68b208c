package saddlecontrol_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlecontrol"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Guards against nodes that receive no updates any more: a registration that cannot be encoded
// is refused, and a node still receives the next one on the same stream.
func TestRegistrationThatCannotBeEncodedIsRefused(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	cfg.NodeSilenceTimeout, cfg.NodeLostTimeout, cfg.UnregisterTimeout = waitTimeout, waitTimeout, waitTimeout
	s, _ := runServer(t, cfg)
	stream := openAttendStream(t, cfg)
	is.NoErr(stream.Send(heartbeat()))
	for _, reg := range []*saddlewire.Registration{
		{Id: "i-\xff\xfe", Group: "drafts", Address: "10.0.0.1:80"},
		{Id: "i-1", Group: "\xc0", Address: "10.0.0.1:80"},
	} {
		var refused *fireflysaddle.RefusedError
		is.True(errors.As(s.Register(waitContext(t), reg), &refused))
		is.Equal(refused.Code, fireflysaddle.CodeInvalid)
	}
	is.NoErr(s.Register(waitContext(t), &saddlewire.Registration{Id: "i-2", Group: "drafts", Address: "10.0.0.2:80"}))
	u := awaitUpdate(t, stream, func(u *saddlewire.Update) bool { return len(u.GetRegistrations()) > 0 })
	is.Equal(len(u.GetRegistrations()), 1)
	is.Equal(u.GetRegistrations()[0].GetId(), "i-2")
}

// Pattern: many more entries than take their turn at once ask for the snapshot of a large fleet.
// Each gets all targets.
func TestEveryEntryGetsItsLargeSnapshot(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	cfg.NodeSilenceTimeout, cfg.NodeLostTimeout, cfg.UnregisterTimeout = waitTimeout, waitTimeout, waitTimeout
	s, _ := runServer(t, cfg)
	const targets, entries = 1200, 4 * saddlecontrol.MaxSnapshots
	for i := range targets {
		is.NoErr(s.Register(waitContext(t), &saddlewire.Registration{Id: fmt.Sprint("i-", i), Group: "drafts", Address: fmt.Sprint("10.0.0.", i, ":80")}))
	}
	var streams []saddlewire.DRPCControl_AttendClient
	for i := range entries {
		stream := openAttendStream(t, cfg)
		is.NoErr(stream.Send(entryBeat(i, 1)))
		streams = append(streams, stream)
	}
	for _, stream := range streams {
		u := awaitUpdate(t, stream, func(u *saddlewire.Update) bool { return !u.GetWaiting() })
		is.True(u.GetSnapshot())
		is.Equal(len(u.GetRegistrations()), targets)
	}
}
