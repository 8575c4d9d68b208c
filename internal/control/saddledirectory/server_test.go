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
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleattend"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// listening is a network that tells on which address it listens.
type listening struct {
	saddlelink.TCP
	at chan string
}

func (n listening) Listen(address string) (net.Listener, error) {
	lis, err := n.TCP.Listen(address)
	if err == nil {
		n.at <- lis.Addr().String()
	}
	return lis, err
}

// start serves a directory that knows a replica. It returns its address and what it
// learns.
func start(t *testing.T, replica string) (address string, learnt <-chan string) {
	t.Helper()
	learns := make(chan string, 64)
	network := listening{at: make(chan string, 1)}
	s := saddledirectory.New(saddledirectory.Config{
		Listen: "127.0.0.1:0", NodeSilenceTimeout: 2 * time.Second, Network: network, Log: zerolog.Nop(),
		Replicas: func() []string { return []string{replica} },
		AddReplica: func(address string) {
			select {
			case learns <- address:
			default:
			}
		},
	})
	run(t, s.Run)
	return <-network.at, learns
}

// run runs something until the test has ended.
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

// await returns what comes, and fails the test when nothing does.
func await(t *testing.T, from <-chan string) string {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-time.After(awaitTime):
		t.Fatal("nothing came")
		return ""
	}
}

// awaitTime bounds what a test waits for; nothing is asserted of it.
const awaitTime = 20 * time.Second

// replica takes in who attends, as a replica that confirms nothing.
type replica struct {
	saddlewire.DRPCControlUnimplementedServer
	attended chan string
}

func (r *replica) Attend(stream saddlewire.DRPCControl_AttendStream) error {
	b, err := stream.Recv()
	if err != nil {
		return err
	}
	r.attended <- b.GetMember().GetNode()
	<-stream.Context().Done()
	return nil
}

// A node whose settings name a VM without a disk finds the replicas all the same, and
// the directory learns of a replica that asks there.
func TestANodeFindsTheReplicas(t *testing.T) {
	is := is.New(t)
	r := &replica{attended: make(chan string, 16)}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	run(t, func(ctx context.Context) {
		_ = saddlelink.Serve(ctx, lis, func(mux drpc.Mux) error { return saddlewire.DRPCRegisterControl(mux, r) })
	})
	address, learnt := start(t, lis.Addr().String())
	a := saddleattend.New(saddleattend.Config{
		Controls: []string{address}, Beat: 50 * time.Millisecond, Silence: 2 * time.Second, Timeline: saddletimeline.NewRing("node", 8),
		Member: func() *saddlewire.Member {
			return &saddlewire.Member{Node: "node", Role: string(fireflysaddle.RoleControl), Address: "10.0.0.2:7", Incarnation: 1}
		},
	}, nil)
	run(t, func(ctx context.Context) { _ = a.Run(ctx) })
	is.Equal(await(t, learnt), "10.0.0.2:7")
	is.Equal(await(t, r.attended), "node")
}

func TestAReplicaThatJoinsIsSentOn(t *testing.T) {
	is := is.New(t)
	s := saddledirectory.New(saddledirectory.Config{Replicas: func() []string { return []string{"10.0.0.1:7"} }})
	out, err := s.Change(context.Background(), &saddlewire.ReplicaChange{Add: "10.0.0.2:7", Address: "10.0.0.2:7"})
	is.NoErr(err)
	is.True(out.GetRefused())
	is.Equal(out.GetLeader(), "10.0.0.1:7")
}
