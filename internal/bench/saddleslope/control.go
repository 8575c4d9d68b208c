package saddleslope

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"storj.io/drpc/drpcconn"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlecontrol"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleheartbeat"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	readyTime = 10 * time.Second // for a replica to lead, or a stream to be answered
	pollTime  = 10 * time.Millisecond
)

// control is a control replica of one in this process.
type control struct {
	server  *saddlecontrol.Server
	address string
}

// newControl starts a replica and returns its clean-up.
func newControl(ctx context.Context) (*control, func(), error) {
	dir, err := os.MkdirTemp("", "fireflysaddle-slopes-")
	if err != nil {
		return nil, nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, nil, err
	}
	now := time.Now()
	server, closeServer, err := saddlecontrol.New(now, saddlecontrol.Config{
		Node:               "control-1",
		Incarnation:        uint64(now.UnixNano()),
		Centre:             "centre-1",
		Listen:             address,
		DataDir:            dir,
		Replicas:           map[string]string{"control-1": address},
		HeartbeatInterval:  100 * time.Millisecond,
		ElectionTimeout:    600 * time.Millisecond,
		NodeLostTimeout:    time.Hour,
		NodeSilenceTimeout: time.Hour,
		SnapshotEvery:      1 << 20,
		Log:                zerolog.Nop(),
		Timeline:           saddletimeline.NewRing("control-1", 4096),
	})
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Run(ctx) // a failure shows as streams that end
	}()
	cleanup := func() {
		cancel()
		<-done
		_ = closeServer()
		_ = os.RemoveAll(dir)
	}
	if err := await(ctx, server.Ready); err != nil {
		cleanup()
		return nil, nil, err
	}
	return &control{server: server, address: address}, cleanup, nil
}

func await(ctx context.Context, holds func() error) error {
	until := time.Now().Add(readyTime)
	for {
		err := holds()
		if err == nil || ctx.Err() != nil || time.Now().After(until) {
			return err
		}
		time.Sleep(pollTime)
	}
}

func freeAddress() (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return lis.Addr().String(), lis.Close()
}

// submit has a command carried out by the replica and returns its log index.
func (c *control) submit(ctx context.Context, command *saddlewire.Command) (uint64, error) {
	command.Request = uuid.NewString()
	out, err := c.server.Submit(ctx, &saddlewire.SubmitRequest{Command: command})
	if err == nil && !out.GetResult().GetAccepted() {
		err = fmt.Errorf("refused: %s", out.GetResult().GetMessage())
	}
	return out.GetResult().GetIndex(), err
}

// attendees are streams to one replica.
type attendees struct {
	streams  []saddlewire.DRPCControl_AttendClient
	beats    []*saddleheartbeat.Sender // of each stream
	conns    []*countedConn
	closing  []func() error
	wg       sync.WaitGroup
	updates  atomic.Int64
	revision []atomic.Uint64 // of each stream's last update
}

// newAttendees opens n streams and sends the first beat of each.
func newAttendees(ctx context.Context, c *control, n int, member func(i int) *saddlewire.Member) (*attendees, error) {
	a := &attendees{revision: make([]atomic.Uint64, n)}
	for i := range n {
		if err := a.open(ctx, c.address, i, member(i)); err != nil {
			a.close()
			return nil, err
		}
	}
	return a, await(ctx, func() error {
		if got := a.updates.Load(); got < int64(n) {
			return fmt.Errorf("%d of %d streams were answered", got, n)
		}
		return nil
	})
}

func (a *attendees) open(ctx context.Context, address string, i int, member *saddlewire.Member) error {
	raw, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	counted := &countedConn{Conn: raw}
	conn := drpcconn.New(counted)
	a.closing = append(a.closing, conn.Close)
	stream, err := saddlewire.NewDRPCControlClient(conn).Attend(ctx)
	if err != nil {
		return err
	}
	beats := &saddleheartbeat.Sender{}
	if err := stream.Send(beats.Next(member)); err != nil {
		return err
	}
	a.streams = append(a.streams, stream)
	a.beats = append(a.beats, beats)
	a.conns = append(a.conns, counted)
	a.wg.Go(func() {
		for {
			u, err := stream.Recv()
			if err != nil {
				return
			}
			a.updates.Add(1)
			a.revision[i].Store(u.GetRevision())
		}
	})
	return nil
}

// bytes returns what all streams sent and received.
func (a *attendees) bytes() (sent, received int64) {
	for _, c := range a.conns {
		sent += c.sent.Load()
		received += c.received.Load()
	}
	return sent, received
}

func (a *attendees) close() {
	for _, c := range a.closing {
		_ = c()
	}
	a.wg.Wait()
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	sent     atomic.Int64
	received atomic.Int64
}

// Read counts what was received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write counts what was sent.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
