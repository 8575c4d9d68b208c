package saddleview_test

import (
	"fmt"
	"testing"

	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// BenchmarkBuildAfterOneRegistration measures a view after one of 3,000 targets registered at
// one of five replicas.
func BenchmarkBuildAfterOneRegistration(b *testing.B) {
	const replicas, targets = 5, 3000
	registrationOf := func(i int, sequence uint64) *saddlewire.Registration {
		return &saddlewire.Registration{Id: fmt.Sprint("i-00a39a6", i), Address: fmt.Sprint("10.0.0.", i, ":80"), Incarnation: 1, Sequence: sequence}
	}
	builder := saddleview.NewBuilder()
	for r := range replicas {
		u := &saddlewire.Update{Snapshot: true}
		for i := range targets {
			u.Registrations = append(u.Registrations, registrationOf(i, uint64(r+1)))
		}
		builder.Update(fmt.Sprint("r", r), u)
	}
	builder.Build()
	sequence := uint64(replicas)
	for b.Loop() {
		sequence++
		builder.Update("r1", registrationUpdate(registrationOf(int(sequence)%targets, sequence)))
		builder.Build()
	}
}
