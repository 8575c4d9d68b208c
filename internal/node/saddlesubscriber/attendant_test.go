package saddlesubscriber_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc"

	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddlesubscriber"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// awaitTime bounds what a test waits for; nothing is asserted of it.
const awaitTime = 20 * time.Second

// fakeReplica says what it is told to each node that attends.
type fakeReplica struct {
	saddlewire.DRPCControlUnimplementedServer
	address string

	mu     sync.Mutex
	update *saddlewire.Update
	open   int // streams
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

// Attend sends what there is to say again and again.
func (f *fakeReplica) Attend(stream saddlewire.DRPCControl_AttendStream) error {
	f.count(1)
	defer f.count(-1)
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

func (f *fakeReplica) count(by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open += by
}

func (f *fakeReplica) say(u *saddlewire.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.update = u
}

func (f *fakeReplica) attended() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open > 0
}

func attend(t *testing.T, controls ...string) *saddlesubscriber.Subscriber {
	t.Helper()
	a := saddlesubscriber.New(saddlesubscriber.Config{
		Controls:              controls,
		HeartbeatInterval:     10 * time.Millisecond,
		ControlSilenceTimeout: time.Second,
		Member:                func() *saddlewire.Member { return &saddlewire.Member{Node: "entry-1", Role: "entry"} },
	}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return a
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(awaitTime); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("waited %s for %s", awaitTime, what)
		}
	}
}

// A node needs no new settings when a control replica is replaced.
func TestNodeFollowsTheReplicasThatControlNames(t *testing.T) {
	is := is.New(t)
	lost, kept, added := newFakeReplica(t), newFakeReplica(t), newFakeReplica(t)
	a := attend(t, lost.address, kept.address)
	await(t, "both replicas of the settings", func() bool { return a.View().Connected == 2 })

	kept.say(&saddlewire.Update{Revision: 1, Confirmed: true, Replicas: []string{kept.address, added.address}})
	await(t, "the new replica", added.attended)
	await(t, "the end with the old one", func() bool { return !lost.attended() })
	await(t, "a view from the two", func() bool { return a.View().Connected == 2 })
	is.True(kept.attended())
}

// A replica that is cut off may still know old replicas only.
func TestUnconfirmedReplicaChangesNothing(t *testing.T) {
	is := is.New(t)
	first, cutOff := newFakeReplica(t), newFakeReplica(t)
	cutOff.say(&saddlewire.Update{Snapshot: true, Revision: 1, Replicas: []string{cutOff.address}})
	a := attend(t, first.address, cutOff.address)
	await(t, "both replicas", func() bool { return a.View().Connected == 2 })
	cutOff.say(&saddlewire.Update{Revision: 2, Replicas: []string{cutOff.address}})
	await(t, "the later update", func() bool { return a.View().Revision == 2 })
	is.Equal(a.View().Connected, 2)
	is.True(first.attended())
}
