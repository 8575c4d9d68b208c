package saddlecontrol

import (
	"context"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// peerSet holds the senders to the other replicas. It is used by the core's
// goroutine, but for wait.
type peerSet struct {
	network fireflysaddle.Network
	self    string
	timeout time.Duration
	peers   map[string]*peer
	stops   map[string]context.CancelFunc
	running sync.WaitGroup
}

func newPeerSet(network fireflysaddle.Network, self string, timeout time.Duration) *peerSet {
	return &peerSet{network: network, self: self, timeout: timeout, peers: map[string]*peer{}, stops: map[string]context.CancelFunc{}}
}

// follow starts senders to the replicas of a membership and stops all others.
func (s *peerSet) follow(ctx context.Context, replicas []*saddlewire.Peer) {
	wanted := map[string]string{}
	for _, r := range replicas {
		if r.GetId() != s.self && r.GetAddress() != "" {
			wanted[r.GetId()] = r.GetAddress()
		}
	}
	for id, p := range s.peers {
		if wanted[id] != p.address {
			s.stops[id]()
			delete(s.peers, id)
			delete(s.stops, id)
		}
	}
	for id, address := range wanted {
		if _, ok := s.peers[id]; ok {
			continue
		}
		p := newPeer(s.network, address, s.timeout)
		peerCtx, stop := context.WithCancel(ctx)
		s.peers[id] = p
		s.stops[id] = stop
		s.running.Go(func() { p.run(peerCtx) })
	}
}

// send queues a message; one to a replica that is not a member is dropped.
func (s *peerSet) send(m *saddlewire.Message) {
	if p, ok := s.peers[m.GetTo()]; ok {
		p.send(m)
		return
	}
	countDropped.Add(1)
}

// wait returns when all senders have ended, after their context has.
func (s *peerSet) wait() { s.running.Wait() }
