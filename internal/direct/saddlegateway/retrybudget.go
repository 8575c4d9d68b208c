package saddlegateway

import (
	"context"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
)

const (
	// minReserveEntries is the minimum number of entries by which the retry reserve is
	// divided. When the first request of a group arrives, this entry may not know all
	// other entries yet.
	minReserveEntries = 8
	// localReserveFraction is the fraction of the reserve that is divided among the
	// entries, so that some retries are possible without a leader.
	localReserveFraction = 0.45
	// grantableReserveFraction is the fraction of the reserve that the leader grants on
	// request. The remainder of the reserve is a safety margin.
	grantableReserveFraction = 0.45
	// localShareFraction is the fraction of the configured retry share that an entry
	// uses. It is below 1 because callers may move between entries within the retry
	// window.
	localShareFraction = 0.9
	// retryWindow is the period over which retries are bounded. It matches the period
	// over which the platform counts retries.
	retryWindow = 10 * time.Second
	// maxGrantSize is the largest number of retries requested at a time. A lost engine
	// interrupts about thirty streams of each entry in one data centre.
	maxGrantSize = 16
	// minGrantSize is the smallest number of retries requested at a time.
	minGrantSize = 2
	// grantShares is the number of an entry's equal shares in what the leader may grant that
	// it requests at a time. Above 1, because not all entries need retries at once.
	grantShares = 2
	// grantLifetime is how long a grant is valid. The leader counts the grant against the
	// limit for longer than that.
	grantLifetime = 1500 * time.Millisecond
	// grantTimeout bounds a grant request. The leader is in the same region.
	grantTimeout = 150 * time.Millisecond
	// grantBackoff is the pause after a request for which nothing was granted.
	grantBackoff = 250 * time.Millisecond
)

// retryBudget bounds the retries of this entry to one group.
type retryBudget struct {
	mu          sync.Mutex
	window      *saddleretry.Window
	nextGrantAt time.Time  // guarded by grantMu: earliest time of the next grant request
	grantMu     sync.Mutex // held during a grant request
}

// recordFirstSend counts the first send of a request to a group.
func (g *Gateway) recordFirstSend(group fireflysaddle.Group) {
	b := g.retryBudget(group)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.RecordFirstAttempt(time.Now())
}

// takeRetry deducts one retry from the group's budget, and requests a grant from the
// leader if none is left. It reports whether a retry was available.
func (g *Gateway) takeRetry(ctx context.Context, group fireflysaddle.Group) bool {
	b := g.retryBudget(group)
	if b.take(time.Now()) {
		return true
	}
	if g.cfg.GrantRetries == nil {
		return false
	}
	b.grantMu.Lock()
	defer b.grantMu.Unlock()
	now := time.Now()
	if b.take(now) { // a concurrent request obtained a grant while this one waited for grantMu
		return true
	}
	if now.Before(b.nextGrantAt) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	limit := int(grantableReserveFraction * g.limits.Load().RetryReserve)
	n := g.cfg.GrantRetries(ctx, group, grantSize(limit, g.cfg.Fleet.EntryCount()), limit)
	now = time.Now()
	if n == 0 {
		b.nextGrantAt = now.Add(grantBackoff)
		return false
	}
	b.mu.Lock()
	b.window.Grant(n, now.Add(grantLifetime))
	b.mu.Unlock()
	return b.take(now)
}

// grantSize returns the number of retries to request at a time. It falls with the number of
// entries, so that a few of them cannot use up what the leader may grant to all.
func grantSize(limit, entries int) int {
	return min(maxGrantSize, max(minGrantSize, grantShares*limit/max(1, entries)))
}

func (b *retryBudget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window.TakeRetry(now)
}

// retryBudget returns the budget of a group with the present limits. This entry's part of
// the reserve changes with the number of entries that it knows of.
func (g *Gateway) retryBudget(group fireflysaddle.Group) *retryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	limits := g.limits.Load()
	share := localShareFraction * limits.RetryShare
	reserve := localReserveFraction * limits.RetryReserve / float64(max(minReserveEntries, g.cfg.Fleet.EntryCount()))
	b, ok := g.retryBudgets[group]
	if !ok {
		b = &retryBudget{window: saddleretry.NewWindow(share, reserve, retryWindow)}
		g.retryBudgets[group] = b
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window.SetLimits(share, reserve)
	return b
}
