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

const answerBytes = 200 // size of the body of a recorded answer

// measureClaims measures the processor time, the memory and the log size of claims
// that are opened and settled in the replicated state.
func measureClaims(_ context.Context, o options, r *report) error {
	for _, n := range o.sizes(10_000, 30_000, 90_000) {
		s := saddlestate.New()
		before := liveBytes()
		logBytes := 0
		cpuNs := cpuNanoseconds(func() { logBytes = applyClaims(s, n) })
		r.add("processor time of a claim, opened and settled", "ns", "claim", n, cpuNs)
		r.add("memory of a settled claim", "bytes", "claim", n, liveBytes()-before)
		r.add("log of a claim, at each replica", "bytes", "claim", n, float64(logBytes))
		runtime.KeepAlive(s)
	}
	return nil
}

// applyClaims opens and settles n claims and returns the size of their log
// entries in bytes.
func applyClaims(s *saddlestate.State, n int) int {
	logBytes := 0
	index := uint64(0)
	apply := func(c *saddlewire.Command) {
		index++
		c.NowNs = int64(baseIncarnation) + int64(index)
		logBytes += proto.Size(&saddlewire.LogEntry{Term: 9, Index: index, Data: make([]byte, proto.Size(c))})
		s.Apply(index, c)
	}
	for i := range n {
		claim := sampleClaim(i)
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
	return logBytes
}

func sampleClaim(i int) *saddlewire.Claim {
	return &saddlewire.Claim{
		Workspace:   fmt.Sprintf("workspace-%04d", i%430),
		Key:         fmt.Sprintf("case-%012d", i),
		Digest:      sampleHash(i, "digest"),
		Request:     fmt.Sprintf("6f0c3c4e-0000-4000-8000-%012d", i),
		Attempt:     1,
		Target:      "filing-desk-1",
		Address:     "10.1.1.91:7200",
		Incarnation: baseIncarnation,
	}
}

// measureSnapshots encodes a replicated state that holds claims, writes the
// snapshot to disk and decodes it.
func measureSnapshots(_ context.Context, o options, r *report) error {
	for _, n := range o.sizes(10_000, 30_000, 90_000) {
		if err := measureSnapshotAt(r, n); err != nil {
			return err
		}
	}
	return nil
}

func measureSnapshotAt(r *report, claims int) error {
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
	applyClaims(s, claims)
	var data []byte
	encodeNs := cpuNanoseconds(func() { data, err = s.Encode() })
	if err != nil {
		return err
	}
	start := time.Now()
	if err := store.SetSnapshot(&saddlewire.Snapshot{Index: uint64(2 * claims), Term: 1, Data: data}); err != nil {
		return err
	}
	if err := store.Sync(); err != nil {
		return err
	}
	wallTime := time.Since(start)
	decodeNs := cpuNanoseconds(func() { _, err = saddlestate.Decode(data) })
	r.add("size of a snapshot", "bytes", "claim", claims, float64(len(data)))
	r.add("processor time to encode a snapshot", "ns", "claim", claims, encodeNs)
	r.add("wall time to store and sync a snapshot", "ns", "claim", claims, float64(wallTime))
	r.add("processor time to decode a snapshot", "ns", "claim", claims, decodeNs)
	return err
}
