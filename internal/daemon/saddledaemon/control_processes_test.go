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
	controlTime = 60 * time.Second // for a condition to come true on a busy machine
	writers     = 4
	writes      = 30 // of each writer
)

func templateBody(writer, n int) string {
	return fmt.Sprintf("[deployment]\nmodels = [{name = \"m\"}]\n# writer %d, change %d\n", writer, n)
}

// putTemplate submits one revision under its own request id until control
// decides.
func putTemplate(t *testing.T, client *saddleclient.Client, writer, n int) *saddlewire.Result {
	t.Helper()
	command := &saddlewire.Command{
		Request: fmt.Sprintf("writer %d, change %d", writer, n),
		Change: &saddlewire.Command_PutTemplate{PutTemplate: &saddlewire.PutTemplate{
			Name: fmt.Sprintf("template-%d", writer), Base: uint64(n - 1), Body: templateBody(writer, n),
		}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlTime)
	defer cancel()
	for {
		result, err := client.Submit(ctx, command)
		if err == nil {
			return result
		}
		if ctx.Err() != nil {
			t.Errorf("writer %d, change %d: %v", writer, n, err)
			return nil
		}
	}
}

// writeAll lets the writers submit their changes one after another.
func writeAll(t *testing.T, client *saddleclient.Client) *sync.WaitGroup {
	t.Helper()
	var wg sync.WaitGroup
	for writer := range writers {
		wg.Go(func() {
			for n := 1; n <= writes; n++ {
				r := putTemplate(t, client, writer, n)
				if !r.GetAccepted() || r.GetRevision() != uint64(n) {
					t.Errorf("writer %d, change %d: %v", writer, n, r)
					return
				}
			}
		})
	}
	return &wg
}

// checkAll reads what is in force and holds it to all that was accepted.
func checkAll(t *testing.T, client *saddleclient.Client) {
	t.Helper()
	state := readControl(t, client)
	if len(state.GetTemplates()) != writers {
		t.Fatalf("%d templates are in force, expected %d", len(state.GetTemplates()), writers)
	}
	for writer, got := range state.GetTemplates() {
		if got.GetRevision() != writes || got.GetBody() != templateBody(writer, writes) {
			t.Errorf("template %s is at revision %d: %s", got.GetName(), got.GetRevision(), got.GetBody())
		}
	}
}

func readControl(t *testing.T, client *saddleclient.Client) *saddlewire.ReadResponse {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), controlTime)
	defer cancel()
	state, err := client.Read(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// controlLeader returns the process that leads.
func controlLeader(t *testing.T, fleet *saddleprocess.Fleet, client *saddleclient.Client) *saddleprocess.Process {
	t.Helper()
	for _, r := range readControl(t, client).GetReplicas() {
		for _, p := range fleet.Controls {
			if r.GetLeader() && r.GetId() == p.Node {
				return p
			}
		}
	}
	t.Fatal("no replica is named as the leader")
	return nil
}

func awaitControls(t *testing.T, fleet *saddleprocess.Fleet) {
	t.Helper()
	for _, p := range fleet.Controls {
		p.AwaitReady(t)
	}
}

// The leader is killed again and again while changes are submitted; each is
// made once and all are in force after all replicas were killed and restarted.
func TestControlLeaderKilledWhileChangesAreSubmitted(t *testing.T) {
	fleet := saddleprocess.New(t, 3)
	awaitControls(t, fleet)
	client := fleet.Client(t)
	written := writeAll(t, client)
	for range 3 {
		leader := controlLeader(t, fleet, client)
		leader.Kill()
		readControl(t, client) // another leads
		leader.Start(t)
		leader.AwaitReady(t)
	}
	written.Wait()
	checkAll(t, client)
	for _, p := range fleet.Controls {
		p.Kill()
	}
	for _, p := range fleet.Controls {
		p.Start(t)
	}
	awaitControls(t, fleet)
	checkAll(t, client)
}

// A frozen leader believes that it leads when it goes on; it must not answer
// what it was asked meanwhile with what was in force before.
func TestControlLeaderFrozenAnswersNothingStale(t *testing.T) {
	is := is.New(t)
	fleet := saddleprocess.New(t, 3)
	awaitControls(t, fleet)
	client := fleet.Client(t)
	is.True(putTemplate(t, client, 0, 1).GetAccepted())
	leader := controlLeader(t, fleet, client)
	address := ""
	for i, p := range fleet.Controls {
		if p == leader {
			address = fleet.ControlAddresses()[i]
		}
	}
	leader.Freeze(t)
	is.True(putTemplate(t, client, 0, 2).GetAccepted()) // by another leader

	direct, cleanup := saddleclient.New([]string{address}, nil)
	defer func() { _ = cleanup() }()
	type answer struct {
		state *saddlewire.ReadResponse
		err   error
	}
	answers := make(chan answer, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), controlTime)
		defer cancel()
		state, err := direct.Read(ctx)
		answers <- answer{state, err}
	}()
	stale := make(chan *saddlewire.Result, 1)
	go func() { stale <- putTemplate(t, direct, 0, 2) }()
	leader.Thaw()
	got := <-answers
	is.NoErr(got.err) // it names the leader, which answers
	is.Equal(got.state.GetTemplates()[0].GetRevision(), uint64(2))
	is.Equal((<-stale).GetRevision(), uint64(2)) // the first result
	leader.AwaitReady(t)
	is.Equal(len(readControl(t, client).GetTemplates()), 1)
}

// A replica whose disk was lost says so and ends; it is replaced under a new
// id, and when another VM is lost right after that, nothing is.
func TestControlReplicaReplacedAfterLostDisk(t *testing.T) {
	is := is.New(t)
	fleet := saddleprocess.New(t, 3)
	awaitControls(t, fleet)
	client := fleet.Client(t)
	writeAll(t, client).Wait()

	leader := controlLeader(t, fleet, client)
	var lost, other *saddleprocess.Process
	for _, p := range fleet.Controls {
		switch {
		case p == leader:
		case lost == nil:
			lost = p
		default:
			other = p
		}
	}
	lost.Kill()
	is.NoErr(os.RemoveAll(fleet.DataDir(lost.Node)))
	lost.Start(t)
	saddleprocess.Await(t, lost.Node+" to end", controlTime, func() error {
		if !strings.Contains(lost.Log(), "empty data folder") {
			return fmt.Errorf("its log does not say why")
		}
		return nil
	})
	is.True(lost.Wait() != nil) // with a failure

	fresh, address := fleet.JoinControl(t, "control-new")
	out := fleet.RunSaddlectl(t, "control-replace", lost.Node, fresh.Node, address, "-wait", "-wait-for", "60s")
	is.True(strings.Contains(out, "done"))
	fresh.AwaitReady(t)

	other.Kill()
	is.NoErr(os.RemoveAll(fleet.DataDir(other.Node)))
	checkAll(t, client) // by the leader and the new replica
	for _, r := range readControl(t, client).GetReplicas() {
		is.True(r.GetId() != lost.Node)
		is.True(r.GetVoter())
	}
}
