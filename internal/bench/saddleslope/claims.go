package saddleslope

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestate"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const answerBytes = 200 // of a recorded answer's body

// measureClaims opens and settles claims in the replicated state.
func measureClaims(_ context.Context, o options, r *report) error {
	for _, n := range o.sizes(10_000, 30_000, 90_000) {
		s := saddlestate.New()
		before := memory()
		logged := 0
		used := cost(func() { logged = applyClaims(s, n) })
		r.add("processor time of a claim, opened and settled", "ns", "claim", n, used)
		r.add("memory of a settled claim", "bytes", "claim", n, memory()-before)
		r.add("log of a claim, at each replica", "bytes", "claim", n, float64(logged))
		runtime.KeepAlive(s)
	}
	return nil
}

// applyClaims opens and settles n claims and returns the bytes of the commands.
func applyClaims(s *saddlestate.State, n int) int {
	logged := 0
	index := uint64(0)
	apply := func(c *saddlewire.Command) {
		index++
		c.NowNs = int64(firstIncarnation) + int64(index)
		logged += proto.Size(&saddlewire.LogEntry{Term: 9, Index: index, Data: make([]byte, proto.Size(c))})
		s.Apply(index, c)
	}
	for i := range n {
		claim := claimOf(i)
		apply(&saddlewire.Command{Request: claim.GetRequest() + "-open", Change: &saddlewire.Command_OpenClaim{
			OpenClaim: &saddlewire.OpenClaim{Claim: claim},
		}})
		apply(&saddlewire.Command{Request: claim.GetRequest() + "-done", Change: &saddlewire.Command_SettleClaim{
			SettleClaim: &saddlewire.SettleClaim{
				Workspace: claim.GetWorkspace(),
				Key:       claim.GetKey(),
				Request:   claim.GetRequest(),
				Answer:    &saddlewire.Answer{Status: 201, ContentType: "application/json", Body: make([]byte, answerBytes)},
			},
		}})
	}
	return logged
}

func claimOf(i int) *saddlewire.Claim {
	return &saddlewire.Claim{
		Workspace:   fmt.Sprintf("workspace-%04d", i%430),
		Key:         fmt.Sprintf("case-%012d", i),
		Digest:      hashOf(i, "digest"),
		Request:     fmt.Sprintf("6f0c3c4e-0000-4000-8000-%012d", i),
		Attempt:     1,
		Target:      "filing-desk-1",
		Address:     "10.1.1.91:7200",
		Incarnation: firstIncarnation,
	}
}

// measureSnapshots writes the state with claims in it to a disk and reads it.
func measureSnapshots(_ context.Context, o options, r *report) error {
	for _, n := range o.sizes(10_000, 30_000, 90_000) {
		if err := measureSnapshotAt(r, n); err != nil {
			return err
		}
	}
	return nil
}

func measureSnapshotAt(r *report, n int) error {
	dir, err := os.MkdirTemp("", "fireflysaddle-slopes-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	store, _, closeStore, err := saddlestore.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = closeStore() }()
	s := saddlestate.New()
	applyClaims(s, n)
	var data []byte
	encode := cost(func() { data, err = s.Encode() })
	if err != nil {
		return err
	}
	start := time.Now()
	if err := store.SetSnapshot(&saddlewire.Snapshot{Index: uint64(2 * n), Term: 1, Data: data}); err != nil {
		return err
	}
	if err := store.Sync(); err != nil {
		return err
	}
	wall := time.Since(start)
	decode := cost(func() { _, err = saddlestate.Decode(data) })
	r.add("size of a snapshot", "bytes", "claim", n, float64(len(data)))
	r.add("processor time to encode a snapshot", "ns", "claim", n, encode)
	r.add("wall time to store and sync a snapshot", "ns", "claim", n, float64(wall))
	r.add("processor time to decode a snapshot", "ns", "claim", n, decode)
	return err
}
