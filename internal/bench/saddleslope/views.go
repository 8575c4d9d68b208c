package saddleslope

import (
	"context"
	"runtime"

	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	viewReplicas  = 3   // control replicas with a stream to the node
	mergesPerSize = 200 // merges for each measurement of processor time
)

// measureViews merges the updates of the control replicas into a node's view,
// first with members, then with deployments.
func measureViews(_ context.Context, o options, r *report) error {
	for _, n := range o.sizes(300, 1000, 3000) {
		b, viewBytes := buildView(&saddlewire.Update{Snapshot: true, Revision: 1, Members: samples(n, agentMember)})
		r.add("memory of a member in a view", "bytes", "member", n, viewBytes)
		r.add("processor time of a merge that changes a member", "ns", "member", n, mergeNanoseconds(b, &saddlewire.Update{Revision: 1, Members: samples(1, agentMember)}))
		r.add("processor time of an idle merge", "ns", "member", n, mergeNanoseconds(b, &saddlewire.Update{Revision: 1}))
	}
	for _, n := range o.sizes(50, 150, 430) {
		b, viewBytes := buildView(&saddlewire.Update{Snapshot: true, Revision: 1, Deployments: samples(n, sampleDeployment)})
		r.add("memory of a deployment in a view", "bytes", "deployment", n, viewBytes)
		r.add("processor time of a merge that changes a deployment", "ns", "deployment", n, mergeNanoseconds(b, &saddlewire.Update{Revision: 1, Deployments: samples(1, sampleDeployment)}))
	}
	return nil
}

// buildView builds a view from an update that each replica sends. It returns the
// builder, and the memory in bytes that the builder and the view use. Each replica
// has its own copy of the update, because updates from different streams share no
// memory.
func buildView(u *saddlewire.Update) (*saddleview.Builder, float64) {
	before := liveBytes()
	b := saddleview.NewBuilder()
	for _, replica := range []string{"a", "b", "c"}[:viewReplicas] {
		b.Update(replica, cloneUpdate(u))
	}
	v := b.Build()
	viewBytes := liveBytes() - before
	runtime.KeepAlive(v)
	return b, viewBytes
}

// mergeNanoseconds returns the mean processor time of merging an update from one
// replica into the view.
func mergeNanoseconds(b *saddleview.Builder, u *saddlewire.Update) float64 {
	return cpuNanoseconds(func() {
		for range mergesPerSize {
			b.Update("a", u)
			b.Build()
		}
	}) / mergesPerSize
}

func samples[T any](n int, sample func(int) T) []T {
	var out []T
	for i := range n {
		out = append(out, sample(i))
	}
	return out
}
