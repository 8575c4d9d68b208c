package saddlecontrol_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// A heartbeat that carries only a load updates the load of the member that an earlier
// heartbeat of the stream carried. The rest of the member is kept.
func TestLoadOnlyHeartbeatKeepsMemberAndUpdatesLoad(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	cfg.NodeSilenceTimeout = waitTimeout
	run(t, cfg)
	stream := openAttendStream(t, cfg)
	is.NoErr(stream.Send(&saddlewire.Beat{Member: &saddlewire.Member{
		Node: "agent-1", Role: "agent", Incarnation: 1, Target: &saddlewire.Target{Id: "mastori-1"},
	}}))
	is.NoErr(stream.Send(&saddlewire.Beat{Load: &saddlewire.Load{Running: 3}}))
	client, cleanup := saddleclient.New([]string{cfg.Listen}, nil)
	defer func() { _ = cleanup() }()
	deadline := time.Now().Add(waitTimeout)
	for {
		err := checkMemberLoad(t, client)
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// checkMemberLoad returns nil if the replica reports the target mastori-1 with 3 running
// requests, and otherwise an error that lists the reported members.
func checkMemberLoad(t *testing.T, client *saddleclient.Client) error {
	t.Helper()
	state, err := client.Read(waitContext(t))
	if err != nil {
		return err
	}
	for _, m := range state.GetMembers() {
		if m.GetTarget().GetId() == "mastori-1" && m.GetLoad().GetRunning() == 3 {
			return nil
		}
	}
	return fmt.Errorf("members are %v", state.GetMembers())
}

// entryBeat returns the heartbeat of an entry whose drafts reserve tokens in five data
// centres.
func entryBeat(i int, tokens uint64) *saddlewire.Beat {
	m := &saddlewire.Member{Node: fmt.Sprintf("front-soweto-d-%d", i), Role: "entry", Incarnation: 1, Load: &saddlewire.Load{}}
	for _, centre := range []string{"joburg-a", "pretoria-b", "midrand-c", "soweto-d", "tembisa-e"} {
		m.Load.Drafts = append(m.Load.Drafts, &saddlewire.SectionLoad{Group: "drafting-models", Centre: centre, Tokens: tokens})
	}
	return &saddlewire.Beat{Member: m}
}

// awaitUpdate receives updates until one satisfies the condition, and returns it.
func awaitUpdate(t *testing.T, stream saddlewire.DRPCControl_AttendClient, ok func(*saddlewire.Update) bool) *saddlewire.Update {
	t.Helper()
	for {
		u, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if ok(u) {
			return u
		}
	}
}

// Pattern: a hundred entries with drafts in five data centres. Each entry is sent sums of
// the others' drafts, so the updates stay as small as with a few entries.
func TestUpdateSizeDoesNotGrowWithEntries(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	cfg.NodeSilenceTimeout, cfg.NodeLostTimeout = waitTimeout, waitTimeout
	run(t, cfg)
	stream := openAttendStream(t, cfg)
	const entries, tokens = 100, 1000
	is.NoErr(stream.Send(entryBeat(0, 7))) // the stream's own entry
	for i := 1; i < entries; i++ {
		is.NoErr(stream.Send(entryBeat(i, tokens)))
	}
	u := awaitUpdate(t, stream, func(u *saddlewire.Update) bool {
		return len(u.GetMembers()) == 0 && len(u.GetPeerDrafts()) == 5 && u.GetPeerDrafts()[0].GetTokens() == (entries-1)*tokens
	})
	is.True(proto.Size(u) < 300) // bytes
	is.NoErr(stream.Send(entryBeat(1, 0)))
	awaitUpdate(t, stream, func(u *saddlewire.Update) bool {
		return len(u.GetPeerDrafts()) == 5 && u.GetPeerDrafts()[4].GetTokens() == (entries-2)*tokens
	})
}

// Pattern: all nodes of a fleet join at once, as after a power failure. Their changes are
// sent together, so that n nodes do not cause n updates to each node.
func TestChangesOfManyMembersShareUpdates(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	cfg.NodeSilenceTimeout, cfg.NodeLostTimeout = waitTimeout, waitTimeout
	run(t, cfg)
	const nodes = 60
	const pause = nodes * time.Millisecond // between two updates to a subscriber
	var streams []saddlewire.DRPCControl_AttendClient
	for i := range nodes {
		s := openAttendStream(t, cfg)
		is.NoErr(s.Send(entryBeat(i, 1)))
		streams = append(streams, s)
	}
	is.NoErr(streams[0].Send(entryBeat(nodes, 1)))
	known := 0
	awaitUpdate(t, streams[0], func(u *saddlewire.Update) bool {
		known += len(u.GetMembers())
		return known > nodes
	})
	began := time.Now()
	go func() {
		for i := range 10 * nodes {
			_ = streams[1].Send(entryBeat(nodes+1+i, 1))
			time.Sleep(time.Millisecond)
		}
	}()
	updates := 0
	awaitUpdate(t, streams[0], func(u *saddlewire.Update) bool {
		updates++
		known += len(u.GetMembers())
		return known > 11*nodes
	})
	const sentBefore = 3 // updates that were sent before the measurement and received in it
	ticks := int(time.Since(began)/(500*time.Millisecond)) + 1
	is.True(updates <= int(time.Since(began)/pause)+ticks+sentBefore)
}

// Pattern: an engine is lost, and a hundred entries suspect it within a moment. Each entry
// is sent how many others suspect it, and not what each of them suspects.
func TestReportsOfManyEntriesAreSentAsCounts(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	cfg.NodeSilenceTimeout, cfg.NodeLostTimeout = waitTimeout, waitTimeout
	run(t, cfg)
	const entries = 100
	beat := func(i int, suspects, failing []string) *saddlewire.Beat {
		b := entryBeat(i, 1)
		b.Member.Centre = []string{"a", "b"}[i%2]
		b.Member.Suspects, b.Member.Failing = suspects, failing
		return b
	}
	stream := openAttendStream(t, cfg)
	for i := range entries {
		is.NoErr(stream.Send(beat(i, nil, nil)))
	}
	known := 0
	awaitUpdate(t, stream, func(u *saddlewire.Update) bool {
		known += len(u.GetMembers())
		return known >= entries && len(u.GetMembers()) == 0
	})
	lost, grey := []string{"engine-1", "engine-2"}, []string{"engine-3"}
	for i := range entries {
		is.NoErr(stream.Send(beat(i, lost, grey)))
	}
	u := awaitUpdate(t, stream, func(u *saddlewire.Update) bool {
		is.Equal(len(u.GetMembers()), 0)
		is.True(proto.Size(u) < 300) // bytes
		for _, c := range u.GetSuspects() {
			is.True(c.GetEntries() <= entries-1) // without the reader itself
		}
		// The last heartbeat is of the other data centre, so an update may be complete but for
		// its suspects.
		return len(u.GetFailing()) == 1 && u.GetFailing()[0].GetEntries() == entries/2-1 &&
			len(u.GetSuspects()) == 2 && u.GetSuspects()[1].GetEntries() == entries-1
	})
	is.Equal(u.GetSuspects()[0].GetEntries(), uint32(entries-1))
	for i := range entries {
		is.NoErr(stream.Send(beat(i, nil, nil)))
	}
	awaitUpdate(t, stream, func(u *saddlewire.Update) bool { return len(u.GetSuspects())+len(u.GetFailing()) == 0 })
}
