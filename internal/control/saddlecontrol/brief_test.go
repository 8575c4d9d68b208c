package saddlecontrol_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// A heartbeat without a member stands for the one before with another load.
func TestBriefHeartbeatKeepsTheMemberAndRenewsItsLoad(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	cfg.NodeSilenceTimeout = patience
	run(t, cfg)
	stream := attend(t, cfg)
	is.NoErr(stream.Send(&saddlewire.Beat{Member: &saddlewire.Member{
		Node: "agent-1", Role: "agent", Incarnation: 1, Target: &saddlewire.Target{Id: "mastori-1"},
	}}))
	is.NoErr(stream.Send(&saddlewire.Beat{Load: &saddlewire.Load{Running: 3}}))
	client, cleanup := saddleclient.New([]string{cfg.Listen}, nil)
	defer func() { _ = cleanup() }()
	until := time.Now().Add(patience)
	for {
		err := hears(t, client)
		if err == nil {
			return
		}
		if time.Now().After(until) {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// hears returns nil when control has the member with the load that it sent
// last.
func hears(t *testing.T, client *saddleclient.Client) error {
	t.Helper()
	state, err := client.Read(patient(t))
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
