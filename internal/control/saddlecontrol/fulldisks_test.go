package saddlecontrol_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlecontrol"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddledisk"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	groupHeartbeat = 20 * time.Millisecond
	groupElection  = 200 * time.Millisecond
	reopenDelay    = 30 * time.Millisecond // shorter than the daemon's, in proportion to the election timeout
	changePause    = 5 * time.Millisecond  // between two changes
)

// reopenedReplica is a replica that is opened again after each failure of its store, as the
// control daemon does.
type reopenedReplica struct {
	cfg      saddlecontrol.Config
	disk     *limitedDisk
	server   atomic.Pointer[saddlecontrol.Server] // nil while the replica is not open
	failures atomic.Int64
}

func (r *reopenedReplica) run(ctx context.Context) {
	for ctx.Err() == nil {
		if s, cleanup, err := saddlecontrol.New(time.Now(), r.cfg); err == nil {
			r.server.Store(s)
			_ = s.Run(ctx)
			r.server.Store(nil)
			for cleanup() != nil && ctx.Err() == nil {
				time.Sleep(reopenDelay)
			}
		}
		r.failures.Add(1)
		time.Sleep(reopenDelay)
	}
}

var errNotOpen = errors.New("the replica is not open")

func (r *reopenedReplica) commit(ctx context.Context, version uint64) error {
	s := r.server.Load()
	if s == nil {
		return errNotOpen
	}
	_, err := s.Commit(ctx, &saddlewire.Command{Change: &saddlewire.Command_PutRouting{
		PutRouting: &saddlewire.PutRouting{Version: version, Content: fmt.Appendf(nil, "version %d", version)},
	}})
	return err
}

// startGroup runs three replicas until the test ends.
func startGroup(t *testing.T) []*reopenedReplica {
	t.Helper()
	members := map[string]string{}
	var group []*reopenedReplica
	for i := range 3 {
		cfg := config(t)
		cfg.Node = "control-" + strconv.Itoa(i+1)
		cfg.Incarnation = uint64(i + 1)
		cfg.HeartbeatInterval = groupHeartbeat
		cfg.ElectionTimeout = groupElection
		members[cfg.Node] = cfg.Listen
		cfg.Contacts = nil
		disk := &limitedDisk{FS: saddledisk.New()}
		cfg.Files = disk
		group = append(group, &reopenedReplica{cfg: cfg, disk: disk})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	for _, r := range group {
		r.cfg.Replicas = members
		wg.Go(func() { r.run(ctx) })
	}
	return group
}

// Each replica commits changes again, over its own API and connections, after the disks of all
// replicas were full in turn, each twice, with changes and snapshots due all the while. While one
// disk is full, the others continue.
func TestReplicasCommitAgainAfterFullDisksInTurn(t *testing.T) {
	group := startGroup(t)
	ctx, cancel := context.WithCancel(waitContext(t))
	var version, acked atomic.Uint64
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			v := version.Add(1)
			if group[i%len(group)].commit(ctx, v) == nil {
				acked.Store(v)
			}
			time.Sleep(changePause)
		}
	})
	awaitChange := func(when string) {
		t.Helper()
		before := acked.Load()
		saddleprocess.Await(t, "a change "+when, waitTimeout, func() error {
			if acked.Load() == before {
				return errors.New("no further change is acknowledged")
			}
			return nil
		})
	}
	awaitChange("at the start")
	for i := range 2 * len(group) {
		r := group[i%len(group)]
		before := r.failures.Load()
		r.disk.full.Store(true)
		saddleprocess.Await(t, "the full disk to stop "+r.cfg.Node+" twice", waitTimeout, func() error {
			if r.failures.Load() < before+2 {
				return errors.New("it did not fail twice")
			}
			return nil
		})
		awaitChange("beside the full disk of " + r.cfg.Node)
		r.disk.full.Store(false)
		awaitChange("after the full disk of " + r.cfg.Node)
	}
	cancel()
	wg.Wait()
	for _, r := range group {
		saddleprocess.Await(t, "a change through "+r.cfg.Node, waitTimeout, func() error {
			if err := r.commit(waitContext(t), version.Add(1)); err != nil {
				return err
			}
			routing, err := r.server.Load().CurrentRouting(waitContext(t))
			if err == nil && routing.GetVersion() != version.Load() {
				t.Errorf("version %d is read back after the change to version %d", routing.GetVersion(), version.Load())
			}
			return err
		})
	}
}
