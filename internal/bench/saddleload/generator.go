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

// Generate returns the requests of a workload in the order of their send times.
func Generate(cfg Config) []Request {
	g := NewGenerator(cfg)
	var requests []Request
	rate := cfg.Rate
	if cfg.ArrivalPattern == Bursts {
		rate *= 1 - burstFraction
		requests = g.generateBursts()
	}
	for at := g.interarrivalTime(rate); at < cfg.TotalDuration; at += g.interarrivalTime(rate) {
		requests = append(requests, g.Next(at))
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return cmp.Compare(a.SendAt, b.SendAt) })
	return requests
}

// Generator generates the requests of a workload one at a time.
type Generator struct {
	cfg          Config
	rand         *rand.Rand
	zipf         *rand.Zipf
	sharedTokens []int // length of the shared prefix, by template
	count        int   // requests generated so far
}

// NewGenerator returns a generator with the seed of cfg.
func NewGenerator(cfg Config) *Generator {
	r := rand.New(rand.NewPCG(cfg.Seed, 1))
	g := &Generator{cfg: cfg, rand: r, zipf: rand.NewZipf(r, templateExponent, 1, uint64(max(cfg.Templates, 1)-1))}
	for range max(cfg.Templates, 1) {
		g.sharedTokens = append(g.sharedTokens, uniform(r, minSharedTokens, maxSharedTokens))
	}
	return g
}

// Next generates a request that is sent at the given time.
func (g *Generator) Next(at time.Duration) Request {
	g.count++
	req := Request{
		ID:        fireflysaddle.RequestID(fmt.Sprintf("r%d", g.count)),
		SendAt:    at,
		Workspace: g.chooseWorkspace(),
		Timeout:   g.cfg.Timeout,
	}
	if g.rand.Float64() < g.cfg.ServiceFraction {
		req.ServiceCall = true
		req.OutputTokens = 1
		req.MaxTokens = 1
		return req
	}
	req.Template = int(g.zipf.Uint64())
	req.SharedPrefixTokens = g.sharedTokens[req.Template]
	req.PromptTokens = req.SharedPrefixTokens + uniform(g.rand, minUnsharedTokens, maxUnsharedTokens)
	req.MaxTokens = uniform(g.rand, minMaxTokens, maxMaxTokens)
	req.OutputTokens = max(int(float64(req.MaxTokens)*(minUsedFraction+(1-minUsedFraction)*g.rand.Float64())), 1)
	req.Prefixes = Prefixes(req.Template, req.SharedPrefixTokens)
	return req
}

// chooseWorkspace chooses one of the large workspaces with probability
// largeFraction, else one of the small ones, if there are any.
func (g *Generator) chooseWorkspace() fireflysaddle.Workspace {
	large := min(largeWorkspaces, g.cfg.Workspaces)
	n := g.rand.IntN(max(large, 1))
	if g.cfg.Workspaces > large && g.rand.Float64() >= largeFraction {
		n = large + g.rand.IntN(g.cfg.Workspaces-large)
	}
	return fireflysaddle.Workspace(fmt.Sprintf("workspace-%d", n+1))
}

func (g *Generator) interarrivalTime(rate float64) time.Duration {
	return time.Duration(g.rand.ExpFloat64() / rate * float64(time.Second))
}

func (g *Generator) generateBursts() []Request {
	var requests []Request
	perBurst := int(g.cfg.Rate * burstFraction * burstInterval.Seconds())
	for at := burstInterval / 2; at+burstDuration < g.cfg.TotalDuration; at += burstInterval {
		for range perBurst {
			requests = append(requests, g.Next(at+time.Duration(g.rand.Int64N(int64(burstDuration)))))
		}
	}
	return requests
}

// Prefixes returns the prefixes within the shared part of a prompt, shortest
// first. They are equal for all prompts of a template.
func Prefixes(template, sharedTokens int) []saddleroute.Prefix {
	var out []saddleroute.Prefix
	for n := shortestPrefix; n <= sharedTokens; n *= 2 {
		out = append(out, saddleroute.Prefix{Hash: uint64(template)<<32 | uint64(n), Tokens: n})
	}
	return out
}

func uniform(r *rand.Rand, low, high int) int { return low + r.IntN(high-low+1) }
