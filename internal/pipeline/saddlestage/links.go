package saddlestage

import (
	"context"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// links holds the links to other agents, dialled when first used. It is safe
// for concurrent use.
type links struct {
	ctx     context.Context
	wg      sync.WaitGroup
	silence time.Duration
	down    func(address string)

	mu    sync.Mutex
	links map[string]*link
}

func newLinks(ctx context.Context, silence time.Duration, down func(string)) *links {
	return &links{ctx: ctx, silence: silence, down: down, links: map[string]*link{}}
}

// send queues a frame; it reports false when the link does not keep up.
func (ls *links) send(address string, f *saddlewire.Frame) bool {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	l, ok := ls.links[address]
	if !ok {
		l = &link{address: address, queue: make(chan *saddlewire.Frame, linkQueue), silence: ls.silence}
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

// keep runs a link and reports its end. What was queued since goes with it.
func (ls *links) keep(l *link) {
	l.run(ls.ctx)
	ls.mu.Lock()
	delete(ls.links, l.address)
	ls.mu.Unlock()
	if ls.ctx.Err() == nil {
		ls.down(l.address)
	}
}

func (ls *links) wait() { ls.wg.Wait() }
