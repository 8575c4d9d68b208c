package saddledaemon

import (
	"context"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlecontrol"
)

// RunControl runs a control process until the context ends: a control replica or, if the
// settings name a group but no data folder, a directory.
func RunControl(ctx context.Context, settings saddlesettings.Control, logs io.Writer) error {
	if settings.Group.Enabled() && settings.DataDir == "" {
		return runDirectory(ctx, settings, logs)
	}
	if settings.Group.Enabled() {
		return runGroupReplica(ctx, settings, logs)
	}
	now := time.Now()
	p, err := newProcess(now, settings.Common, settings.Digest(), fireflysaddle.RoleControl, logs)
	if err != nil {
		return err
	}
	replicas := make(map[string]string, len(settings.Replicas))
	for _, r := range settings.Replicas {
		replicas[r.Node] = r.Address
	}
	cfg := newControlConfig(settings, p)
	cfg.Node = settings.Node
	cfg.DataDir = settings.DataDir
	cfg.Replicas = replicas
	cfg.Join = settings.Join
	s, cleanup, err := saddlecontrol.New(now, cfg)
	if err != nil {
		return err
	}
	defer func() { _ = cleanup() }()
	subscriber := newControlSubscriber(settings, p, slices.Collect(maps.Values(replicas)), nil)
	return p.serve(ctx, s.Ready, func(stop <-chan struct{}) error {
		runCtx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			select {
			case <-stop:
				cancel()
			case <-runCtx.Done():
			}
		}()
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		wg.Go(func() { _ = subscriber.Run(runCtx) })
		return s.Run(runCtx)
	})
}

// newControlConfig returns the configuration of a control replica, built from the settings.
// The caller still sets the fields that identify the replica (Node, DataDir, Replicas and
// Join) and, for a replica that manages its membership, the fields of its group.
func newControlConfig(settings saddlesettings.Control, p *process) saddlecontrol.Config {
	return saddlecontrol.Config{
		Incarnation:        uint64(p.incarnation),
		Centre:             settings.Centre,
		Listen:             settings.Listen,
		Admin:              settings.Admin,
		NodeSilenceTimeout: settings.NodeSilenceTimeout.Std(),
		HeartbeatInterval:  settings.HeartbeatInterval.Std(),
		ElectionTimeout:    settings.ElectionTimeout.Std(),
		NodeLostTimeout:    settings.NodeLostTimeout.Std(),
		UnregisterTimeout:  settings.UnregisterTimeout.Std(),
		SnapshotEvery:      settings.SnapshotEvery,
		MaxLoads:           settings.MaxLoads,
		Log:                p.log,
		Timeline:           p.timeline,
		Network:            p.network,
	}
}
