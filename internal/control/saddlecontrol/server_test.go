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
	silence  = 300 * time.Millisecond
	patience = 60 * time.Second // for a condition to come true on a busy machine
)

func config(t *testing.T) saddlecontrol.Config {
	t.Helper()
	address, err := saddlestandin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return saddlecontrol.Config{
		Node: "control-1", Incarnation: 1, Listen: address, DataDir: t.TempDir(),
		Replicas: map[string]string{"control-1": address}, NodeSilenceTimeout: silence,
		HeartbeatInterval: 10 * time.Millisecond, ElectionTimeout: 50 * time.Millisecond, NodeLostTimeout: time.Second, SnapshotEvery: 10,
		Log: zerolog.Nop(), Timeline: saddletimeline.NewRing("control-1", 100),
	}
}

// run starts a group of one replica until the test ends or it is stopped.
func run(t *testing.T, cfg saddlecontrol.Config) (stop func()) {
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
	return stop
}

func patient(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

// attend opens a connection whose heartbeats the test sends.
func attend(t *testing.T, cfg saddlecontrol.Config) saddlewire.DRPCControl_AttendClient {
	t.Helper()
	conn, err := saddlelink.Dial(patient(t), cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	stream, err := saddlewire.NewDRPCControlClient(conn).Attend(patient(t))
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

func beat() *saddlewire.Beat {
	return &saddlewire.Beat{Member: &saddlewire.Member{Node: "entry-1", Role: "entry", Incarnation: 1}}
}

// A node that falls silent, frozen or cut off, is cut off by the replica too,
// so that nothing of it is kept.
func TestSilentNodeIsCutOff(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	run(t, cfg)
	stream := attend(t, cfg)
	is.NoErr(stream.Send(beat()))
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
	case <-time.After(patience / 2):
		t.Fatal("the connection of a silent node is kept")
	}
}

func TestNodeThatSendsHeartbeatsIsKept(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	cfg.NodeSilenceTimeout = patience
	run(t, cfg)
	stream := attend(t, cfg)
	for range 4 { // more than two seconds of updates
		is.NoErr(stream.Send(beat()))
		_, err := stream.Recv()
		is.NoErr(err)
	}
}

// Malformed requests are refused; the replica goes on.
func TestMalformedRequestIsRefused(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	run(t, cfg)
	conn, err := saddlelink.Dial(patient(t), cfg.Listen)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	control := saddlewire.NewDRPCControlClient(conn)
	_, err = control.Submit(patient(t), &saddlewire.SubmitRequest{})
	is.True(err != nil)
	_, err = control.Exchange(patient(t), &saddlewire.MessageBatch{Messages: []*saddlewire.Message{nil, {To: "control-1", Type: 99}}})
	is.NoErr(err)
	stream := attend(t, cfg)
	is.NoErr(stream.Send(&saddlewire.Beat{}))
	_, err = stream.Recv()
	is.True(err != nil) // names no node

	client, cleanup := saddleclient.New([]string{cfg.Listen}, nil)
	defer func() { _ = cleanup() }()
	_, err = client.Read(patient(t))
	is.NoErr(err)
	for name, change := range map[string]*saddlewire.ReplicaChange{
		"nothing":      {},
		"no address":   {Add: "control-2"},
		"last voter":   {Remove: "control-1"},
		"other one":    {Add: "control-1", Address: "127.0.0.1:1"},
		"unknown one":  {Add: "control-2", Address: "127.0.0.1:1", Remove: "control-9"},
		"bad address":  {Add: "control-2", Address: "here"},
		"port missing": {Add: "control-2", Address: "127.0.0.1"},
	} {
		result, err := client.Change(patient(t), change)
		is.NoErr(err)
		if result.GetAccepted() {
			t.Errorf("%s is accepted", name)
		}
	}
}

// A folder that is in use is refused, and a start that failed lets go of it.
func TestFolderIsHeldByOneReplica(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	stop := run(t, cfg)
	second := config(t)
	second.DataDir = cfg.DataDir
	_, _, err := saddlecontrol.New(time.Now(), second)
	var used *saddlestore.InUseError
	is.True(errors.As(err, &used))

	other := config(t)
	other.Listen = cfg.Listen // taken
	_, _, err = saddlecontrol.New(time.Now(), other)
	is.True(err != nil)
	other.Listen = second.Listen
	_, cleanup, err := saddlecontrol.New(time.Now(), other)
	is.NoErr(err)
	is.NoErr(cleanup())
	stop()
}

// A restarted replica knows what was in force, also past several snapshots.
func TestReplicaComesBackWithWhatWasInForce(t *testing.T) {
	is := is.New(t)
	cfg := config(t)
	stop := run(t, cfg)
	client, cleanup := saddleclient.New([]string{cfg.Listen}, nil)
	defer func() { _ = cleanup() }()
	const changes = 35
	for i := range uint64(changes) {
		result, err := client.Submit(patient(t), &saddlewire.Command{
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
	state, err := client.Read(patient(t))
	is.NoErr(err)
	is.Equal(state.GetTemplates()[0].GetRevision(), uint64(changes))
}
