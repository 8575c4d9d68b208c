package saddlecontrol_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Pattern: a node has reconnected, and a heartbeat of its old connection arrives after one of the
// new connection, because the replica is busy.
// Guards against a node being reported behind a revision that it has already reported.
func TestLateHeartbeatOfAnOldStreamChangesNothing(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	cfg.NodeSilenceTimeout, cfg.NodeLostTimeout = waitTimeout, waitTimeout
	run(t, cfg)
	oldStream, newStream := openAttendStream(t, cfg), openAttendStream(t, cfg)
	agent := func(revision uint64) *saddlewire.Member {
		return &saddlewire.Member{Node: "agent-1", Role: "agent", Incarnation: 1, Revision: revision, Target: &saddlewire.Target{Id: "mastori-1"}}
	}
	is.NoErr(oldStream.Send(&saddlewire.Beat{Member: agent(4), SentNs: 1}))
	is.NoErr(newStream.Send(&saddlewire.Beat{Member: agent(5), SentNs: 3}))
	awaitRevision(t, cfg.Listen, 5)
	is.NoErr(oldStream.Send(&saddlewire.Beat{Load: &saddlewire.Load{Running: 1}, SentNs: 2}))
	is.NoErr(oldStream.Send(&saddlewire.Beat{Member: agent(4), SentNs: 2}))
	marker := &saddlewire.Member{Node: "marker", Role: "agent", Incarnation: 1, Revision: 1}
	is.NoErr(oldStream.Send(&saddlewire.Beat{Member: marker, SentNs: 4})) // handled after the late heartbeats
	is.Equal(revisionOf(awaitMember(t, cfg.Listen, "marker"), "agent-1"), uint64(5))
}

func revisionOf(state *saddlewire.ReadResponse, node string) uint64 {
	for _, m := range state.GetMembers() {
		if m.GetNode() == node {
			return m.GetRevision()
		}
	}
	return 0
}

// awaitRevision waits until a replica reports a revision of the node agent-1.
func awaitRevision(t *testing.T, address string, revision uint64) {
	t.Helper()
	awaitState(t, address, func(s *saddlewire.ReadResponse) bool { return revisionOf(s, "agent-1") == revision })
}

// awaitMember waits until a replica knows a node, and returns the state that it reports.
func awaitMember(t *testing.T, address, node string) *saddlewire.ReadResponse {
	t.Helper()
	return awaitState(t, address, func(s *saddlewire.ReadResponse) bool { return revisionOf(s, node) > 0 })
}

func awaitState(t *testing.T, address string, ok func(*saddlewire.ReadResponse) bool) *saddlewire.ReadResponse {
	t.Helper()
	client, cleanup := saddleclient.New([]string{address}, nil)
	defer func() { _ = cleanup() }()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(10 * time.Millisecond) {
		state, err := client.Read(waitContext(t))
		if err == nil && ok(state) {
			return state
		}
		if time.Now().After(deadline) {
			t.Fatalf("the state is %v, %v", state, err)
		}
	}
}
