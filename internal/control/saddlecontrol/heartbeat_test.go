package saddlecontrol_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

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
