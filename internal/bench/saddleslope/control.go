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
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	waitTimeout  = 10 * time.Second // for a replica to become leader, a stream to receive an update or a request path to answer
	pollInterval = 10 * time.Millisecond
)

// control is a single control replica in this process.
type control struct {
	server  *saddlecontrol.Server
	address string
}

// newControl starts a replica and waits until it is ready. The returned function
// stops it and removes its data.
func newControl(ctx context.Context) (*control, func(), error) {
	dir, err := os.MkdirTemp("", "fireflysaddle-slopes-")
	if err != nil {
		return nil, nil, err
	}
	address, err := saddlestandin.FreeAddress()
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
		_ = server.Run(ctx) // a failure is visible as the end of the streams
	}()
	cleanup := func() {
		cancel()
		<-done
		_ = closeServer()
		_ = os.RemoveAll(dir)
	}
	if err := waitFor(ctx, server.Ready); err != nil {
		cleanup()
		return nil, nil, err
	}
	return &control{server: server, address: address}, cleanup, nil
}

// waitFor calls check until check returns nil. After waitTimeout, or when ctx is
// done, waitFor returns the error of the latest call.
func waitFor(ctx context.Context, check func() error) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := check()
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// submit submits a command to the replica and returns its log index.
func (c *control) submit(ctx context.Context, command *saddlewire.Command) (uint64, error) {
	command.Request = uuid.NewString()
	out, err := c.server.Submit(ctx, &saddlewire.SubmitRequest{Command: command})
	if err == nil && !out.GetResult().GetAccepted() {
		err = fmt.Errorf("command refused: %s", out.GetResult().GetMessage())
	}
	return out.GetResult().GetIndex(), err
}

// subscribers are open Attend streams to one replica.
type subscribers struct {
	streams          []saddlewire.DRPCControl_AttendClient
	heartbeatSenders []*saddleheartbeat.Sender // one for each stream
	conns            []*countingConn
	closers          []func() error
	wg               sync.WaitGroup
	updates          atomic.Int64    // number received on all streams
	revisions        []atomic.Uint64 // revision of the latest update of each stream
}

// newSubscribers opens n streams, sends a heartbeat on each and waits until
// they have received n updates in total.
func newSubscribers(ctx context.Context, c *control, n int, member func(i int) *saddlewire.Member) (*subscribers, error) {
	s := &subscribers{revisions: make([]atomic.Uint64, n)}
	for i := range n {
		if err := s.openStream(ctx, c.address, i, member(i)); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, waitFor(ctx, func() error {
		if got := s.updates.Load(); got < int64(n) {
			return fmt.Errorf("%d of %d updates were received", got, n)
		}
		return nil
	})
}

func (s *subscribers) openStream(ctx context.Context, address string, i int, member *saddlewire.Member) error {
	raw, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	counted := &countingConn{Conn: raw}
	conn := drpcconn.New(counted)
	s.closers = append(s.closers, conn.Close)
	stream, err := saddlewire.NewDRPCControlClient(conn).Attend(ctx)
	if err != nil {
		return err
	}
	sender := &saddleheartbeat.Sender{}
	if err := stream.Send(sender.Next(member)); err != nil {
		return err
	}
	s.streams = append(s.streams, stream)
	s.heartbeatSenders = append(s.heartbeatSenders, sender)
	s.conns = append(s.conns, counted)
	s.wg.Go(func() {
		for {
			u, err := stream.Recv()
			if err != nil {
				return
			}
			s.updates.Add(1)
			s.revisions[i].Store(u.GetRevision())
		}
	})
	return nil
}

// bytes returns the total bytes sent and received on all streams.
func (s *subscribers) bytes() (sent, received int64) {
	for _, c := range s.conns {
		sent += c.sent.Load()
		received += c.received.Load()
	}
	return sent, received
}

func (s *subscribers) close() {
	for _, c := range s.closers {
		_ = c()
	}
	s.wg.Wait()
}

// countingConn counts the bytes sent and received on a connection.
type countingConn struct {
	net.Conn
	sent     atomic.Int64
	received atomic.Int64
}

// Read reads from the connection and counts the bytes received.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes sent.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
