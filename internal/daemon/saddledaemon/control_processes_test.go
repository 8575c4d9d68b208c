package saddledaemon_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	controlTimeout     = 60 * time.Second // generous, for busy machines
	templateWriters    = 4
	revisionsPerWriter = 30 // each writer changes only its own template, so this is also the template's last revision
)

func templateBody(writer, revision int) string {
	return fmt.Sprintf("[deployment]\nmodels = [{name = \"m\"}]\n# writer %d, change %d\n", writer, revision)
}

// putTemplateRevision submits one revision under a fixed request id and retries until it
// gets a result.
func putTemplateRevision(t *testing.T, client *saddleclient.Client, writer, revision int) *saddlewire.Result {
	t.Helper()
	command := &saddlewire.Command{
		Request: fmt.Sprintf("writer %d, change %d", writer, revision),
		Change: &saddlewire.Command_PutTemplate{PutTemplate: &saddlewire.PutTemplate{
			Name: fmt.Sprintf("template-%d", writer), Base: uint64(revision - 1), Body: templateBody(writer, revision),
		}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	for {
		result, err := client.Submit(ctx, command)
		if err == nil {
			return result
		}
		if ctx.Err() != nil {
			t.Errorf("writer %d, change %d: %v", writer, revision, err)
			return nil
		}
	}
}

// startTemplateWriters starts the writers. Each submits its revisions in sequence and
// checks that each is accepted with the expected number.
func startTemplateWriters(t *testing.T, client *saddleclient.Client) *sync.WaitGroup {
	t.Helper()
	var wg sync.WaitGroup
	for writer := range templateWriters {
		wg.Go(func() {
			for revision := 1; revision <= revisionsPerWriter; revision++ {
				r := putTemplateRevision(t, client, writer, revision)
				if !r.GetAccepted() || r.GetRevision() != uint64(revision) {
					t.Errorf("writer %d, change %d: %v", writer, revision, r)
					return
				}
			}
		})
	}
	return &wg
}

// checkTemplates checks that the state in force holds the last revision of every writer.
func checkTemplates(t *testing.T, client *saddleclient.Client) {
	t.Helper()
	state := readControlState(t, client)
	if len(state.GetTemplates()) != templateWriters {
		t.Fatalf("%d templates are in force, expected %d", len(state.GetTemplates()), templateWriters)
	}
	for writer, got := range state.GetTemplates() {
		if got.GetRevision() != revisionsPerWriter || got.GetBody() != templateBody(writer, revisionsPerWriter) {
			t.Errorf("template %s is at revision %d: %s", got.GetName(), got.GetRevision(), got.GetBody())
		}
	}
}

func readControlState(t *testing.T, client *saddleclient.Client) *saddlewire.ReadResponse {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	state, err := client.Read(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// leaderProcess returns the process of the control leader.
func leaderProcess(t *testing.T, fleet *saddleprocess.Fleet, client *saddleclient.Client) *saddleprocess.Process {
	t.Helper()
	for _, r := range readControlState(t, client).GetReplicas() {
		for _, p := range fleet.Controls {
			if r.GetLeader() && r.GetId() == p.Node {
				return p
			}
		}
	}
	t.Fatal("no replica is reported as the leader")
	return nil
}

func awaitControlsReady(t *testing.T, fleet *saddleprocess.Fleet) {
	t.Helper()
	for _, p := range fleet.Controls {
		p.AwaitReady(t)
	}
}

// The leader is killed repeatedly while changes are submitted. Each change must be
// applied exactly once, and all must be in force after all replicas were killed and
// restarted.
func TestControlLeaderKilledWhileChangesAreSubmitted(t *testing.T) {
	fleet := saddleprocess.New(t, 3)
	awaitControlsReady(t, fleet)
	client := fleet.Client(t)
	writersDone := startTemplateWriters(t, client)
	for range 3 {
		leader := leaderProcess(t, fleet, client)
		leader.Kill()
		readControlState(t, client) // waits for another leader
		leader.Start(t)
		leader.AwaitReady(t)
	}
	writersDone.Wait()
	checkTemplates(t, client)
	for _, p := range fleet.Controls {
		p.Kill()
	}
	for _, p := range fleet.Controls {
		p.Start(t)
	}
	awaitControlsReady(t, fleet)
	checkTemplates(t, client)
}

// A leader that was frozen still considers itself the leader when it resumes. It must not
// use its state from before the freeze to answer the requests that arrived during the freeze.
func TestFrozenControlLeaderReturnsNoStaleState(t *testing.T) {
	is := is.New(t)
	fleet := saddleprocess.New(t, 3)
	awaitControlsReady(t, fleet)
	client := fleet.Client(t)
	is.True(putTemplateRevision(t, client, 0, 1).GetAccepted())
	leader := leaderProcess(t, fleet, client)
	address := ""
	for i, p := range fleet.Controls {
		if p == leader {
			address = fleet.ControlAddresses()[i]
		}
	}
	leader.Freeze(t)
	is.True(putTemplateRevision(t, client, 0, 2).GetAccepted()) // accepted by another leader

	oldLeaderClient, cleanup := saddleclient.New([]string{address}, nil)
	defer func() { _ = cleanup() }()
	type answer struct {
		state *saddlewire.ReadResponse
		err   error
	}
	answers := make(chan answer, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
		defer cancel()
		state, err := oldLeaderClient.Read(ctx)
		answers <- answer{state, err}
	}()
	resent := make(chan *saddlewire.Result, 1)
	go func() { resent <- putTemplateRevision(t, oldLeaderClient, 0, 2) }()
	leader.Thaw()
	got := <-answers
	is.NoErr(got.err) // the client is referred to the new leader
	is.Equal(got.state.GetTemplates()[0].GetRevision(), uint64(2))
	is.Equal((<-resent).GetRevision(), uint64(2)) // deduplicated: the result of the first submission
	leader.AwaitReady(t)
	is.Equal(len(readControlState(t, client).GetTemplates()), 1)
}

// A replica that lost its disk logs the cause and exits with an error. After it is
// replaced under a new id, the loss of another VM loses no accepted change.
func TestControlReplicaReplacedAfterDiskLoss(t *testing.T) {
	is := is.New(t)
	fleet := saddleprocess.New(t, 3)
	awaitControlsReady(t, fleet)
	client := fleet.Client(t)
	startTemplateWriters(t, client).Wait()

	leader := leaderProcess(t, fleet, client)
	var replaced, secondLost *saddleprocess.Process
	for _, p := range fleet.Controls {
		switch {
		case p == leader:
		case replaced == nil:
			replaced = p
		default:
			secondLost = p
		}
	}
	replaced.Kill()
	is.NoErr(os.RemoveAll(fleet.DataDir(replaced.Node)))
	replaced.Start(t)
	saddleprocess.Await(t, replaced.Node+" to report its empty data folder", controlTimeout, func() error {
		if !strings.Contains(replaced.Log(), "empty data folder") {
			return fmt.Errorf("its log does not report the empty data folder")
		}
		return nil
	})
	is.True(replaced.Wait() != nil) // exits with an error

	joined, address := fleet.JoinControl(t, "control-new")
	out := fleet.RunSaddlectl(t, "control-replace", replaced.Node, joined.Node, address, "-wait", "-wait-for", "60s")
	is.True(strings.Contains(out, "done"))
	joined.AwaitReady(t)

	secondLost.Kill()
	is.NoErr(os.RemoveAll(fleet.DataDir(secondLost.Node)))
	checkTemplates(t, client) // served by the leader and the new replica
	for _, r := range readControlState(t, client).GetReplicas() {
		is.True(r.GetId() != replaced.Node)
		is.True(r.GetVoter())
	}
}
