package saddlestage

import (
	"context"
	"sync"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// links holds the links to other agents, dialled when first used. It is safe
// for concurrent use.
type links struct {
	ctx   context.Context
	wg    sync.WaitGroup
	cfg   Config
	broke func(address string) // a link that worked is dialled anew; what was under way is lost
	down  func(address string) // a link cannot be opened; what was queued is lost

	mu    sync.Mutex
	links map[string]*link
}

func newLinks(ctx context.Context, cfg Config, broke, down func(string)) *links {
	return &links{ctx: ctx, cfg: cfg, broke: broke, down: down, links: map[string]*link{}}
}

// send queues a frame; it reports false when the link does not keep up.
func (ls *links) send(address string, f *saddlewire.Frame) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.ctx.Err() != nil {
		return true // the agent is ending
	}
	l, ok := ls.links[address]
	if !ok {
		l = &link{address: address, queue: make(chan *saddlewire.Frame, linkQueue), silence: ls.cfg.LinkSilenceTimeout, dial: ls.cfg.Dial}
		ls.links[address] = l
		ls.wg.Go(func() { ls.keep(l) })
	}
	select {
	case l.queue <- f:
		return true
	default:
		return false
	}
}

// keep runs a link until it is idle or cannot be opened. One that worked and
// broke is dialled anew and keeps its queue.
func (ls *links) keep(l *link) {
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
		case l.heard.Load():
			countLinksLost.Add(1)
			ls.broke(l.address)
		default:
			countLinksLost.Add(1)
			ls.remove(l)
			ls.down(l.address)
			return
		}
	}
}

func (ls *links) remove(l *link) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	delete(ls.links, l.address)
}

// removeIdle removes a link unless something was queued meanwhile.
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
