package saddlegateway

import (
	"context"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
)

const (
	// minSharers is the least number of entries that the reserve of repeated sendings
	// is divided by: not all may be known yet when a group's first request comes.
	minSharers = 8
	// ownPart is the part of the reserve that the entries have for themselves, so
	// that some sendings can be repeated while there is no leader; the rest is
	// granted to those that need it, but for a margin.
	ownPart    = 0.45
	grantsPart = 0.45
	// sharePart is the part of the share of the first sendings that an entry uses:
	// callers may move between entries within the span that counts.
	sharePart = 0.9
	// budgetSpan is the span within which repeated sendings are bounded, as the
	// users' platform counts them.
	budgetSpan = 10 * time.Second
	// grantSize is how many sendings are asked for at a time: a lost engine breaks
	// the drafts of a data centre's entries, some thirty each.
	grantSize = 16
	// grantKept is for how long a grant is good; the leader counts it for longer.
	grantKept = 1500 * time.Millisecond
	// grantTimeout bounds the question; the leader is in the same region.
	grantTimeout = 150 * time.Millisecond
	// grantAgain is the pause after nothing was granted.
	grantAgain = 250 * time.Millisecond
)

// budget bounds what this entry sends again to one group.
type budget struct {
	mu     sync.Mutex
	own    *saddleretry.Window
	askAt  time.Time // when more may be asked for
	asking sync.Mutex
}

// first notes the first sending of a request to a group.
func (g *Gateway) first(group fireflysaddle.Group) {
	b := g.budget(group)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.own.RecordFirstAttempt(time.Now())
}

// again takes one repeated sending from the group's budget, and asks the leader for
// more when none is left.
func (g *Gateway) again(ctx context.Context, group fireflysaddle.Group) bool {
	b := g.budget(group)
	if b.take(time.Now()) {
		return true
	}
	if g.cfg.GrantRetries == nil {
		return false
	}
	b.asking.Lock()
	defer b.asking.Unlock()
	now := time.Now()
	if b.take(now) { // by what another request asked for
		return true
	}
	if now.Before(b.askAt) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	n := g.cfg.GrantRetries(ctx, group, grantSize, int(grantsPart*g.cfg.RetryReserve))
	now = time.Now()
	if n == 0 {
		b.askAt = now.Add(grantAgain)
		return false
	}
	b.mu.Lock()
	b.own.Grant(n, now.Add(grantKept))
	b.mu.Unlock()
	return b.take(now)
}

func (b *budget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.own.TakeRetry(now)
}

func (g *Gateway) budget(group fireflysaddle.Group) *budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.budgets[group]
	if !ok {
		reserve := ownPart * g.cfg.RetryReserve / float64(max(minSharers, g.cfg.Fleet.EntryCount()))
		b = &budget{own: saddleretry.NewWindow(sharePart*g.cfg.RetryShare, reserve, budgetSpan)}
		g.budgets[group] = b
	}
	return b
}
