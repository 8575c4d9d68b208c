package saddlestage

import (
	"context"
	"sync"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// links holds the links to other agents, which are dialled on first use. It is
// safe for concurrent use.
type links struct {
	ctx      context.Context
	wg       sync.WaitGroup
	cfg      Config
	onBroken func(address string) // an established link broke and is dialled again; frames in flight are lost
	onDown   func(address string) // a link cannot be opened; queued frames are lost

	mu    sync.Mutex
	links map[string]*link
}

func newLinks(ctx context.Context, cfg Config, onBroken, onDown func(string)) *links {
	return &links{ctx: ctx, cfg: cfg, onBroken: onBroken, onDown: onDown, links: map[string]*link{}}
}

// send queues a frame. It returns false if the queue of the link is full.
func (ls *links) send(address string, f *saddlewire.Frame) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.ctx.Err() != nil {
		return true // the runner is stopping
	}
	l, ok := ls.links[address]
	if !ok {
		l = &link{address: address, queue: make(chan *saddlewire.Frame, linkQueueLen), silenceTimeout: ls.cfg.LinkSilenceTimeout, dial: ls.cfg.Dial}
		ls.links[address] = l
		ls.wg.Go(func() { ls.maintain(l) })
	}
	select {
	case l.queue <- f:
		return true
	default:
		return false
	}
}

// maintain runs a link until it is idle or cannot be opened. A link that breaks
// after a heartbeat was received is dialled again and keeps its queue.
func (ls *links) maintain(l *link) {
	for {
		err := l.run(ls.ctx)
		switch {
		case ls.ctx.Err() != nil:
			ls.remove(l)
			return
		case err == nil:
			if ls.removeIdle(l) {
				return
			}
		case l.heartbeatReceived.Load():
			countLinksLost.Add(1)
			ls.onBroken(l.address)
		default:
			countLinksLost.Add(1)
			ls.remove(l)
			ls.onDown(l.address)
			return
		}
	}
}

func (ls *links) remove(l *link) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	delete(ls.links, l.address)
}

// removeIdle removes a link unless a frame was queued meanwhile.
func (ls *links) removeIdle(l *link) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	delete(ls.links, l.address)
	return true
}

func (ls *links) wait() { ls.wg.Wait() }
