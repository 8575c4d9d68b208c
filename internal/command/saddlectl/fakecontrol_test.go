package saddlectl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/fireflysaddle/fireflysaddle/internal/command/saddlectl"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestate"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

var errAnswerLost = errors.New("answer lost")

// fakeControl stands in for a group with a single control replica. It applies commands to
// the real state machine, serves the real drpc interface and injects faults on demand.
type fakeControl struct {
	saddlewire.DRPCControlUnimplementedServer
	address string

	mu            sync.Mutex
	state         *saddlestate.State
	index         uint64
	requests      []string // request ids of the received commands
	members       []*saddlewire.Member
	replicas      []*saddlewire.Replica
	answersToLose int  // number of answers to drop after the command was applied
	leaderless    bool // the replica is not the leader and knows no leader
	lagging       bool // the revisions of the members are no longer updated
}

func newFakeControl(t *testing.T) *fakeControl {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeControl{
		address: lis.Addr().String(),
		state:   saddlestate.New(),
		members: []*saddlewire.Member{{Node: "entry-1", Role: "entry", Confirmed: true}},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = saddlelink.Serve(ctx, lis, func(mux drpc.Mux) error { return saddlewire.DRPCRegisterControl(mux, f) })
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

func (f *fakeControl) Submit(_ context.Context, in *saddlewire.SubmitRequest) (*saddlewire.SubmitResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaderless {
		return &saddlewire.SubmitResponse{Refused: true}, nil
	}
	f.index++
	command := in.GetCommand()
	command.NowNs = int64(f.index) * int64(time.Second)
	f.requests = append(f.requests, command.GetRequest())
	result := f.state.Apply(f.index, command)
	if f.answersToLose > 0 {
		f.answersToLose--
		return nil, errAnswerLost
	}
	return &saddlewire.SubmitResponse{Result: result}, nil
}

func (f *fakeControl) Read(_ context.Context, in *saddlewire.ReadRequest) (*saddlewire.ReadResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if !f.lagging {
			m.Revision = f.state.Revision()
		}
	}
	return &saddlewire.ReadResponse{
		Current:     !f.leaderless,
		Revision:    f.state.Revision(),
		Templates:   f.state.Templates(),
		Deployments: f.state.Deployments(),
		Drains:      f.state.Drains(),
		Members:     f.members,
		Replicas:    f.replicas,
		History:     f.state.History(in.GetHistoryKind(), in.GetHistoryName()),
	}, nil
}

// update runs change with the lock held.
func (f *fakeControl) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeControl) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Revision()
}

// commandResult is the exit code, standard output and standard error of a command.
type commandResult struct {
	code   int
	out    string
	errOut string
}

func (f *fakeControl) run(t *testing.T, args ...string) commandResult {
	t.Helper()
	return run(t, append(args, "-controls", f.address)...)
}

func run(t *testing.T, args ...string) commandResult {
	t.Helper()
	var out, errOut bytes.Buffer
	code := saddlectl.Run(t.Context(), args, &out, &errOut)
	return commandResult{code: code, out: out.String(), errOut: errOut.String()}
}

// decode parses the output of a command that was run with -json.
func decode[T any](t *testing.T, text string) T {
	t.Helper()
	var out T
	if err := json.Unmarshal([]byte(text), &out); err != nil {
		t.Fatalf("not JSON: %v\n%s", err, text)
	}
	return out
}

const template = `name = "meet"
[parameters.weight]
type = "int"
default = "1"
max = 100
[deployment]
weight = "${weight}"
timeout = "30s"
models = [{ name = "mastori" }]
`

const fleetFile = `templates = ["meet.toml"]
[[deployments]]
workspace = "volos"
template = "meet"
parameters = { weight = "2" }
[[deployments]]
workspace = "larisa"
template = "meet"
`

// writeFiles writes files to a temporary folder and returns its path.
func writeFiles(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}
