package saddlecontrol

import (
	"context"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// peerSet holds the senders to the other replicas. Only wait may be called outside the
// core's goroutine.
type peerSet struct {
	network fireflysaddle.Network
	self    string
	timeout time.Duration
	peers   map[string]*peer
	stops   map[string]context.CancelFunc
	senders sync.WaitGroup
}

func newPeerSet(network fireflysaddle.Network, self string, timeout time.Duration) *peerSet {
	return &peerSet{network: network, self: self, timeout: timeout, peers: map[string]*peer{}, stops: map[string]context.CancelFunc{}}
}

// reconcile starts senders to the given replicas and stops all others.
func (s *peerSet) reconcile(ctx context.Context, replicas []*saddlewire.Peer) {
	desired := map[string]string{}
	for _, r := range replicas {
		if r.GetId() != s.self && r.GetAddress() != "" {
			desired[r.GetId()] = r.GetAddress()
		}
	}
	for id, p := range s.peers {
		if desired[id] != p.address {
			s.stops[id]()
			delete(s.peers, id)
			delete(s.stops, id)
		}
	}
	for id, address := range desired {
		if _, ok := s.peers[id]; ok {
			continue
		}
		p := newPeer(s.network, address, s.timeout)
		peerCtx, stop := context.WithCancel(ctx)
		s.peers[id] = p
		s.stops[id] = stop
		s.senders.Go(func() { p.run(peerCtx) })
	}
}

// send queues a message, or drops it when its receiver is not in the set.
func (s *peerSet) send(m *saddlewire.Message) {
	if p, ok := s.peers[m.GetTo()]; ok {
		p.send(m)
		return
	}
	countMessagesDropped.Add(1)
}

// wait blocks until all senders have ended. Their context must be cancelled first.
func (s *peerSet) wait() { s.senders.Wait() }
