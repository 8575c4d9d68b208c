package saddleslope

import (
	"context"
	"runtime"

	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	viewSources = 3   // replicas that a node hears
	viewBuilds  = 200 // merges at each size
)

// measureViews merges what a node hears: first with members, then with
// deployments.
func measureViews(_ context.Context, o options, r *report) error {
	for _, n := range o.sizes(300, 1000, 3000) {
		b, grown := viewOf(&saddlewire.Update{Snapshot: true, Revision: 1, Members: some(n, agentMember)})
		r.add("memory of a member in a view", "bytes", "member", n, grown)
		r.add("processor time of a merge that changes a member", "ns", "member", n, mergeCost(b, &saddlewire.Update{Revision: 1, Members: some(1, agentMember)}))
		r.add("processor time of an idle merge", "ns", "member", n, mergeCost(b, &saddlewire.Update{Revision: 1}))
	}
	for _, n := range o.sizes(50, 150, 430) {
		b, grown := viewOf(&saddlewire.Update{Snapshot: true, Revision: 1, Deployments: some(n, deploymentOf)})
		r.add("memory of a deployment in a view", "bytes", "deployment", n, grown)
		r.add("processor time of a merge that changes a deployment", "ns", "deployment", n, mergeCost(b, &saddlewire.Update{Revision: 1, Deployments: some(1, deploymentOf)}))
	}
	return nil
}

// viewOf returns a builder that heard an update from each source, each in its
// own copy as streams deliver it, and the memory that it and its view take.
func viewOf(u *saddlewire.Update) (*saddleview.Builder, float64) {
	before := memory()
	b := saddleview.NewBuilder()
	for _, source := range []string{"a", "b", "c"}[:viewSources] {
		b.Update(source, clone(u))
	}
	v := b.Build()
	grown := memory() - before
	runtime.KeepAlive(v)
	return b, grown
}

func mergeCost(b *saddleview.Builder, u *saddlewire.Update) float64 {
	return cost(func() {
		for range viewBuilds {
			b.Update("a", u)
			b.Build()
		}
	}) / viewBuilds
}

func some[T any](n int, sample func(int) T) []T {
	var out []T
	for i := range n {
		out = append(out, sample(i))
	}
	return out
}
