package saddleload

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
)

// Draw returns the requests of a load in the order of their times.
func Draw(cfg Config) []Request {
	d := NewDrawer(cfg)
	var out []Request
	rate := cfg.Rate
	if cfg.Shape == Bursts {
		rate *= 1 - burstShare
		out = d.bursts()
	}
	for at := d.gap(rate); at < cfg.Length; at += d.gap(rate) {
		out = append(out, d.Next(at))
	}
	slices.SortStableFunc(out, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return out
}

// Drawer draws requests one at a time.
type Drawer struct {
	cfg    Config
	rand   *rand.Rand
	zipf   *rand.Zipf
	shared []int // tokens by template
	count  int
}

// NewDrawer returns a drawer with the seed of a load.
func NewDrawer(cfg Config) *Drawer {
	r := rand.New(rand.NewPCG(cfg.Seed, 1))
	d := &Drawer{cfg: cfg, rand: r, zipf: rand.NewZipf(r, templateSkew, 1, uint64(max(cfg.Templates, 1)-1))}
	for range max(cfg.Templates, 1) {
		d.shared = append(d.shared, between(r, minShared, maxShared))
	}
	return d
}

// Next draws a request that comes at a time.
func (d *Drawer) Next(at time.Duration) Request {
	d.count++
	q := Request{
		ID:        fireflysaddle.RequestID(fmt.Sprintf("r%d", d.count)),
		At:        at,
		Workspace: d.workspace(),
		Patience:  d.cfg.Patience,
	}
	if d.rand.Float64() < d.cfg.ServiceFraction {
		q.ServiceCall = true
		q.Tokens = 1
		q.MaxTokens = 1
		return q
	}
	q.Template = int(d.zipf.Uint64())
	q.SharedTokens = d.shared[q.Template]
	q.PromptTokens = q.SharedTokens + between(d.rand, minOwn, maxOwn)
	q.MaxTokens = between(d.rand, minMax, maxMax)
	q.Tokens = max(int(float64(q.MaxTokens)*(minUsed+(1-minUsed)*d.rand.Float64())), 1)
	q.Prefixes = Prefixes(q.Template, q.SharedTokens)
	return q
}

// workspace draws from a few large workspaces and many small ones.
func (d *Drawer) workspace() fireflysaddle.Workspace {
	large := min(largeOnes, d.cfg.Workspaces)
	n := d.rand.IntN(max(large, 1))
	if d.cfg.Workspaces > large && d.rand.Float64() >= largeShare {
		n = large + d.rand.IntN(d.cfg.Workspaces-large)
	}
	return fireflysaddle.Workspace(fmt.Sprintf("workspace-%d", n+1))
}

func (d *Drawer) gap(rate float64) time.Duration {
	return time.Duration(d.rand.ExpFloat64() / rate * float64(time.Second))
}

func (d *Drawer) bursts() []Request {
	var out []Request
	each := int(d.cfg.Rate * burstShare * burstEvery.Seconds())
	for at := burstEvery / 2; at+burstLength < d.cfg.Length; at += burstEvery {
		for range each {
			out = append(out, d.Next(at+time.Duration(d.rand.Int64N(int64(burstLength)))))
		}
	}
	return out
}

// Prefixes returns the prefixes within the shared part of a prompt, which are
// those of every prompt with that part.
func Prefixes(template, sharedTokens int) []saddleroute.Prefix {
	var out []saddleroute.Prefix
	for n := firstBoundary; n <= sharedTokens; n *= 2 {
		out = append(out, saddleroute.Prefix{Hash: uint64(template)<<32 | uint64(n), Tokens: n})
	}
	return out
}

func between(r *rand.Rand, low, high int) int { return low + r.IntN(high-low+1) }
