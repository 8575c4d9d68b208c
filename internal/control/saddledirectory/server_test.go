package saddledirectory_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddledirectory"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddlesubscriber"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// listenerNetwork is a TCP network that sends the address of each listener to a channel.
type listenerNetwork struct {
	saddlelink.TCP
	addresses chan string
}

func (n listenerNetwork) Listen(address string) (net.Listener, error) {
	lis, err := n.TCP.Listen(address)
	if err == nil {
		n.addresses <- lis.Addr().String()
	}
	return lis, err
}

// startDirectory serves a directory that knows one replica. It returns the directory's
// address and a channel of the replica addresses that the directory records.
func startDirectory(t *testing.T, replica string) (address string, added <-chan string) {
	t.Helper()
	replicas := make(chan string, 64)
	network := listenerNetwork{addresses: make(chan string, 1)}
	s := saddledirectory.New(saddledirectory.Config{
		Listen: "127.0.0.1:0", NodeSilenceTimeout: 2 * time.Second, Network: network, Log: zerolog.Nop(),
		Replicas: func() []string { return []string{replica} },
		AddReplica: func(address string) {
			select {
			case replicas <- address:
			default:
			}
		},
	})
	run(t, s.Run)
	return <-network.addresses, replicas
}

// run runs f until the test ends.
func run(t *testing.T, f func(ctx context.Context)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// receive returns the next value of the channel, or fails the test after receiveTimeout.
func receive(t *testing.T, ch <-chan string) string {
	t.Helper()
	select {
	case got := <-ch:
		return got
	case <-time.After(receiveTimeout):
		t.Fatal("nothing received before the timeout")
		return ""
	}
}

// receiveTimeout bounds a wait; tests assert nothing about its length.
const receiveTimeout = 20 * time.Second

// fakeReplica reports which nodes open an Attend stream and sends no updates.
type fakeReplica struct {
	saddlewire.DRPCControlUnimplementedServer
	nodes chan string
}

func (r *fakeReplica) Attend(stream saddlewire.DRPCControl_AttendStream) error {
	b, err := stream.Recv()
	if err != nil {
		return err
	}
	r.nodes <- b.GetMember().GetNode()
	<-stream.Context().Done()
	return nil
}

// A node whose settings name only a VM without a disk finds the replicas through the
// directory on that VM. The directory records the address of a replica that opens an
// Attend stream to it.
func TestNodeFindsReplicasThroughDirectory(t *testing.T) {
	is := is.New(t)
	r := &fakeReplica{nodes: make(chan string, 16)}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	run(t, func(ctx context.Context) {
		_ = saddlelink.Serve(ctx, lis, func(mux drpc.Mux) error { return saddlewire.DRPCRegisterControl(mux, r) })
	})
	address, added := startDirectory(t, lis.Addr().String())
	subscriber := saddlesubscriber.New(saddlesubscriber.Config{
		Controls: []string{address}, HeartbeatInterval: 50 * time.Millisecond, ControlSilenceTimeout: 2 * time.Second, Timeline: saddletimeline.NewRing("node", 8),
		Member: func() *saddlewire.Member {
			return &saddlewire.Member{Node: "node", Role: string(fireflysaddle.RoleControl), Address: "10.0.0.2:7", Incarnation: 1}
		},
	}, nil)
	run(t, func(ctx context.Context) { _ = subscriber.Run(ctx) })
	is.Equal(receive(t, added), "10.0.0.2:7")
	is.Equal(receive(t, r.nodes), "node")
}

func TestJoiningReplicaIsRedirected(t *testing.T) {
	is := is.New(t)
	s := saddledirectory.New(saddledirectory.Config{Replicas: func() []string { return []string{"10.0.0.1:7"} }})
	out, err := s.Change(context.Background(), &saddlewire.ReplicaChange{Add: "10.0.0.2:7", Address: "10.0.0.2:7"})
	is.NoErr(err)
	is.True(out.GetRefused())
	is.Equal(out.GetLeader(), "10.0.0.1:7")
}
