package saddledaemon_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// A placement makes the engine load a new version, and the agent is killed during the
// load. The restart must not cause a second load: the weights are fetched once, and the new
// version is announced.
func TestPlacementLoadsWeightsOnceAcrossAgentRestart(t *testing.T) {
	t.Parallel()
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced=%t", fenced), func(t *testing.T) {
			is := is.New(t)
			fleet := saddleprocess.New(t, 3)
			store, closeStore, err := saddlestandin.NewWeightStore("127.0.0.1:0", 256<<10, 512<<10)
			is.NoErr(err)
			t.Cleanup(closeStore)
			engine, closeEngine, err := saddlestandin.NewEngine(saddlestandin.EngineConfig{
				Address: "127.0.0.1:0", ID: "drafting-1", Model: "drafting-models", Version: "1",
				LayerFrom: 0, LayerTo: 2, LayerCount: 2, Slots: 2, Incarnation: 1, ChecksFences: fenced, WeightStoreAddress: store.Address(), LoadTime: 4 * time.Second,
			})
			is.NoErr(err)
			t.Cleanup(closeEngine)
			agent := fleet.StartAgent(t, "agent-drafting-1", "")
			agent.AnnounceFunc(t, engine.Announcement)
			agent.AwaitReady(t)

			client := fleet.Client(t)
			submitCommand(t, client, &saddlewire.Command{Change: &saddlewire.Command_PutPlacement{PutPlacement: &saddlewire.PutPlacement{
				Target: "drafting-1", Group: "drafting-models", Version: "2",
			}}})
			saddleprocess.Await(t, "the load to begin", awaitTimeout, func() error {
				if store.Reads("2") == 0 {
					return fmt.Errorf("no read of the weights")
				}
				return nil
			})
			agent.Kill()
			agent.Start(t)
			saddleprocess.Await(t, "the new version to be announced", awaitTimeout, func() error {
				return checkAnnouncedVersion(t, client, "drafting-1", "2")
			})
			is.Equal(store.Reads("2"), 1) // not loaded again after the restart
		})
	}
}

const awaitTimeout = 30 * time.Second

func submitCommand(t testing.TB, client *saddleclient.Client, c *saddlewire.Command) *saddlewire.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	c.Request = uuid.NewString()
	result, err := client.Submit(ctx, c)
	if err != nil {
		t.Fatal(err)
	}
	if !result.GetAccepted() {
		t.Fatalf("command refused: %s", result.GetMessage())
	}
	return result
}

func checkAnnouncedVersion(t testing.TB, client *saddleclient.Client, target, version string) error {
	t.Helper()
	state, err := readState(client)
	if err != nil {
		return err
	}
	for _, m := range state.GetMembers() {
		if m.GetTarget().GetId() == target && m.GetTarget().GetVersion() == version {
			return nil
		}
	}
	return fmt.Errorf("target %s is not at version %s", target, version)
}

func readState(client *saddleclient.Client) (*saddlewire.ReadResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	return client.Read(ctx)
}
