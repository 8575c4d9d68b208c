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
	peerQueueLen  = 512     // messages queued for one peer
	maxBatchBytes = 1 << 20 // size after which no more messages are added to a batch
)

// peer sends messages to one other replica. It may lose messages. This does no harm,
// because Raft sends again what was not acknowledged.
type peer struct {
	network fireflysaddle.Network
	address string
	timeout time.Duration // limit of one exchange; the connection is closed when an exchange fails
	queue   chan *saddlewire.Message
	conn    *drpcconn.Conn
}

func newPeer(network fireflysaddle.Network, address string, timeout time.Duration) *peer {
	return &peer{network: network, address: address, timeout: timeout, queue: make(chan *saddlewire.Message, peerQueueLen)}
}

// send queues a message, or drops it when the queue is full.
func (p *peer) send(m *saddlewire.Message) {
	select {
	case p.queue <- m:
	default:
		countMessagesDropped.Add(1)
	}
}

// run sends queued messages until the context ends.
func (p *peer) run(ctx context.Context) {
	defer p.close()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			batch := p.batch(m)
			if err := p.exchange(ctx, batch); err != nil {
				countMessagesDropped.Add(int64(len(batch.GetMessages())))
				p.close()
			}
		}
	}
}

// batch combines the first message with those that are queued already, until the batch
// reaches maxBatchBytes.
func (p *peer) batch(first *saddlewire.Message) *saddlewire.MessageBatch {
	batch := &saddlewire.MessageBatch{Messages: []*saddlewire.Message{first}}
	size := proto.Size(first)
	for size < maxBatchBytes {
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
