package saddlesubscriber_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddlesubscriber"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// awaitTimeout limits each wait of a test; only a failing test waits that long.
const awaitTimeout = 20 * time.Second

// fakeReplica sends the update set by a test on each Attend stream.
type fakeReplica struct {
	saddlewire.DRPCControlUnimplementedServer
	address string

	mu          sync.Mutex
	update      *saddlewire.Update
	openStreams int // number of Attend streams
}

func newFakeReplica(t *testing.T) *fakeReplica {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeReplica{address: lis.Addr().String(), update: &saddlewire.Update{Snapshot: true, Revision: 1}}
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

// Attend sends the current update every 5 ms.
func (f *fakeReplica) Attend(stream saddlewire.DRPCControl_AttendStream) error {
	f.addOpenStreams(1)
	defer f.addOpenStreams(-1)
	for stream.Context().Err() == nil {
		f.mu.Lock()
		u := f.update
		f.mu.Unlock()
		if err := stream.Send(u); err != nil {
			return err
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

func (f *fakeReplica) addOpenStreams(delta int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openStreams += delta
}

func (f *fakeReplica) setUpdate(u *saddlewire.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.update = u
}

func (f *fakeReplica) hasOpenStream() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openStreams > 0
}

func startSubscriber(t *testing.T, controls ...string) *saddlesubscriber.Subscriber {
	t.Helper()
	return startSubscriberWithLog(t, zerolog.Nop(), controls...)
}

func startSubscriberWithLog(t *testing.T, log zerolog.Logger, controls ...string) *saddlesubscriber.Subscriber {
	t.Helper()
	s := saddlesubscriber.New(saddlesubscriber.Config{
		Controls:              controls,
		HeartbeatInterval:     10 * time.Millisecond,
		ControlSilenceTimeout: time.Second,
		Member:                func() *saddlewire.Member { return &saddlewire.Member{Node: "entry-1", Role: "entry"} },
		Log:                   log,
	}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited %s for %s", awaitTimeout, what)
		}
	}
}

// A node connects to the replicas that a confirmed update lists, so that
// replacing a control replica requires no change of settings.
func TestConnectsToReplicasOfConfirmedUpdate(t *testing.T) {
	is := is.New(t)
	removed, remaining, added := newFakeReplica(t), newFakeReplica(t), newFakeReplica(t)
	s := startSubscriber(t, removed.address, remaining.address)
	await(t, "both replicas of the settings", func() bool { return s.View().Connected == 2 })

	remaining.setUpdate(&saddlewire.Update{Revision: 1, Confirmed: true, Replicas: []string{remaining.address, added.address}})
	await(t, "the new replica", added.hasOpenStream)
	await(t, "the removed replica to be disconnected", func() bool { return !removed.hasOpenStream() })
	await(t, "a view from the remaining and the new replica", func() bool { return s.View().Connected == 2 })
	is.True(remaining.hasOpenStream())
}

// An update that is not confirmed must not stop streams: a partitioned replica
// may list only former replicas.
func TestUnconfirmedUpdateStopsNoStream(t *testing.T) {
	is := is.New(t)
	first, partitioned := newFakeReplica(t), newFakeReplica(t)
	partitioned.setUpdate(&saddlewire.Update{Snapshot: true, Revision: 1, Replicas: []string{partitioned.address}})
	s := startSubscriber(t, first.address, partitioned.address)
	await(t, "both replicas", func() bool { return s.View().Connected == 2 })
	partitioned.setUpdate(&saddlewire.Update{Revision: 2, Replicas: []string{partitioned.address}})
	await(t, "the later update", func() bool { return s.View().Revision == 2 })
	is.Equal(s.View().Connected, 2)
	is.True(first.hasOpenStream())
}

// Pattern: a replica of a large fleet tells the node to wait for its snapshot, for longer than the
// time after which a silent replica is dialled again. The node stays with the stream, and what it
// knew of the replica stays as it was.
func TestNodeWaitsForItsSnapshot(t *testing.T) {
	is := is.New(t)
	ready, busy := newFakeReplica(t), newFakeReplica(t)
	ready.setUpdate(&saddlewire.Update{Snapshot: true, Revision: 3})
	busy.setUpdate(&saddlewire.Update{Waiting: true})
	s := startSubscriber(t, ready.address, busy.address)
	await(t, "the ready replica", func() bool { return s.View().Connected == 1 })
	await(t, "the stream to the busy replica", busy.hasOpenStream)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		is.True(busy.hasOpenStream())
		is.Equal(s.View().Connected, 1)
	}
	busy.setUpdate(&saddlewire.Update{Snapshot: true, Revision: 4})
	await(t, "the snapshot", func() bool { return s.View().Connected == 2 && s.View().Revision == 4 })
}
