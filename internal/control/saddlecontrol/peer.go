package saddlecontrol

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	peerQueue  = 512     // messages waiting for one peer
	batchBytes = 1 << 20 // of messages after which no more are added to a batch
)

// peer sends messages to one other replica. Messages may be lost: the replicas
// repeat what matters.
type peer struct {
	network fireflysaddle.Network
	address string
	timeout time.Duration // of one exchange; a silent connection is closed
	queue   chan *saddlewire.Message
	conn    *drpcconn.Conn
}

func newPeer(network fireflysaddle.Network, address string, timeout time.Duration) *peer {
	return &peer{network: network, address: address, timeout: timeout, queue: make(chan *saddlewire.Message, peerQueue)}
}

// send queues a message, or drops it when the peer does not keep up.
func (p *peer) send(m *saddlewire.Message) {
	select {
	case p.queue <- m:
	default:
		countDropped.Add(1)
	}
}

// run sends until the context ends.
func (p *peer) run(ctx context.Context) {
	defer p.close()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			batch := p.batch(m)
			if err := p.exchange(ctx, batch); err != nil {
				countDropped.Add(int64(len(batch.GetMessages())))
				p.close()
			}
		}
	}
}

// batch adds the messages that wait to a first one, within a bound of bytes.
func (p *peer) batch(first *saddlewire.Message) *saddlewire.MessageBatch {
	batch := &saddlewire.MessageBatch{Messages: []*saddlewire.Message{first}}
	size := proto.Size(first)
	for size < batchBytes {
		select {
		case m := <-p.queue:
			batch.Messages = append(batch.Messages, m)
			size += proto.Size(m)
		default:
			return batch
		}
	}
	return batch
}

func (p *peer) exchange(ctx context.Context, batch *saddlewire.MessageBatch) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	if p.conn == nil {
		conn, err := saddlelink.DialWithNetwork(ctx, p.network, p.address)
		if err != nil {
			return err
		}
		p.conn = conn
	}
	_, err := saddlewire.NewDRPCControlClient(p.conn).Exchange(ctx, batch)
	return err
}

func (p *peer) close() {
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}
