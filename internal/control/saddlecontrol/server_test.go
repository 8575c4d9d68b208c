package saddlecontrol_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlecontrol"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	silenceTimeout = 300 * time.Millisecond
	waitTimeout    = 60 * time.Second // limit of the wait for a condition, long enough for a busy machine
)

func config(t *testing.T) saddlecontrol.Config {
	t.Helper()
	address, err := saddlestandin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return saddlecontrol.Config{
		Node: "control-1", Incarnation: 1, Listen: address, DataDir: t.TempDir(),
		Replicas: map[string]string{"control-1": address}, NodeSilenceTimeout: silenceTimeout,
		HeartbeatInterval: 10 * time.Millisecond, ElectionTimeout: 50 * time.Millisecond, NodeLostTimeout: time.Second, SnapshotEvery: 10,
		Log: zerolog.Nop(), Timeline: saddletimeline.NewRing("control-1", 100),
	}
}

// run runs a group of one replica until the test ends or stop is called.
func run(t *testing.T, cfg saddlecontrol.Config) (stop func()) {
	t.Helper()
	_, stop = runServer(t, cfg)
	return stop
}

// runServer does as run, and also returns the replica.
func runServer(t *testing.T, cfg saddlecontrol.Config) (server *saddlecontrol.Server, stop func()) {
	t.Helper()
	s, cleanup, err := saddlecontrol.New(time.Now(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	stopped := false
	stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		if err := cleanup(); err != nil {
			t.Error(err)
		}
	}
	t.Cleanup(stop)
	return s, stop
}

func waitContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

// openAttendStream opens an Attend stream on which the test itself sends the heartbeats.
func openAttendStream(t *testing.T, cfg saddlecontrol.Config) saddlewire.DRPCControl_AttendClient {
	t.Helper()
	conn, err := saddlelink.Dial(waitContext(t), cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	stream, err := saddlewire.NewDRPCControlClient(conn).Attend(waitContext(t))
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

func heartbeat() *saddlewire.Beat {
	return &saddlewire.Beat{Member: &saddlewire.Member{Node: "entry-1", Role: "entry", Incarnation: 1}}
}

// A frozen or partitioned node sends no heartbeats. The replica closes its connection, so
// that no resources stay allocated for the node.
func TestSilentNodeIsDisconnected(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	run(t, cfg)
	stream := openAttendStream(t, cfg)
	is.NoErr(stream.Send(heartbeat()))
	ended := make(chan struct{})
	go func() {
		for {
			if _, err := stream.Recv(); err != nil {
				close(ended)
				return
			}
		}
	}()
	select {
	case <-ended:
	case <-time.After(waitTimeout / 2):
		t.Fatal("the connection of a node without heartbeats was not closed")
	}
}

func TestNodeWithHeartbeatsStaysConnected(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	cfg.NodeSilenceTimeout = waitTimeout
	run(t, cfg)
	stream := openAttendStream(t, cfg)
	for range 4 { // about 1.5 s, since updates are at most 500 ms apart
		is.NoErr(stream.Send(heartbeat()))
		_, err := stream.Recv()
		is.NoErr(err)
	}
}

// Malformed requests are refused, and the replica continues to serve.
func TestMalformedRequestIsRefused(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	run(t, cfg)
	conn, err := saddlelink.Dial(waitContext(t), cfg.Listen)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	control := saddlewire.NewDRPCControlClient(conn)
	_, err = control.Submit(waitContext(t), &saddlewire.SubmitRequest{})
	is.True(err != nil)
	_, err = control.Exchange(waitContext(t), &saddlewire.MessageBatch{Messages: []*saddlewire.Message{nil, {To: "control-1", Type: 99}}})
	is.NoErr(err)
	stream := openAttendStream(t, cfg)
	is.NoErr(stream.Send(&saddlewire.Beat{}))
	_, err = stream.Recv()
	is.True(err != nil) // the heartbeat has no node name

	client, cleanup := saddleclient.New([]string{cfg.Listen}, nil)
	defer func() { _ = cleanup() }()
	_, err = client.Read(waitContext(t))
	is.NoErr(err)
	for name, change := range map[string]*saddlewire.ReplicaChange{
		"nothing":                          {},
		"no address":                       {Add: "control-2"},
		"last voter":                       {Remove: "control-1"},
		"known replica at another address": {Add: "control-1", Address: "127.0.0.1:1"},
		"unknown replica to remove":        {Add: "control-2", Address: "127.0.0.1:1", Remove: "control-9"},
		"bad address":                      {Add: "control-2", Address: "here"},
		"port missing":                     {Add: "control-2", Address: "127.0.0.1"},
	} {
		result, err := client.Change(waitContext(t), change)
		is.NoErr(err)
		if result.GetAccepted() {
			t.Errorf("change %q was accepted", name)
		}
	}
}

// New refuses a data folder that is in use. If New fails for another reason, it releases
// the data folder.
func TestDataDirectoryIsExclusive(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	stop := run(t, cfg)
	second := config(t)
	second.DataDir = cfg.DataDir
	_, _, err := saddlecontrol.New(time.Now(), second)
	var inUse *saddlestore.InUseError
	is.True(errors.As(err, &inUse))

	other := config(t)
	other.Listen = cfg.Listen // address in use by the first replica
	_, _, err = saddlecontrol.New(time.Now(), other)
	is.True(err != nil)
	other.Listen = second.Listen
	_, cleanup, err := saddlecontrol.New(time.Now(), other)
	is.NoErr(err)
	is.NoErr(cleanup())
	stop()
}

// A restarted replica restores its state, also after several snapshots.
func TestRestartRestoresStateAcrossSnapshots(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	stop := run(t, cfg)
	client, cleanup := saddleclient.New([]string{cfg.Listen}, nil)
	defer func() { _ = cleanup() }()
	const changes = 35
	for i := range uint64(changes) {
		result, err := client.Submit(waitContext(t), &saddlewire.Command{
			Request: fmt.Sprint("r", i),
			Change: &saddlewire.Command_PutTemplate{PutTemplate: &saddlewire.PutTemplate{
				Name: "forms", Base: i, Body: "[deployment]\nmodels = [{name = \"m\"}]\n",
			}},
		})
		is.NoErr(err)
		is.True(result.GetAccepted())
	}
	stop()
	run(t, cfg)
	state, err := client.Read(waitContext(t))
	is.NoErr(err)
	is.Equal(state.GetTemplates()[0].GetRevision(), uint64(changes))
}
