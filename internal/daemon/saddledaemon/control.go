package saddledaemon

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlecontrol"
)

// RunControl runs a control replica until the context ends.
func RunControl(ctx context.Context, settings saddlesettings.Control, logs io.Writer) error {
	now := time.Now()
	p, err := newProcess(now, settings.Common, fireflysaddle.RoleControl, logs)
	if err != nil {
		return err
	}
	replicas := make(map[string]string, len(settings.Replicas))
	for _, r := range settings.Replicas {
		replicas[r.Node] = r.Address
	}
	s, cleanup, err := saddlecontrol.New(now, saddlecontrol.Config{
		Node:          settings.Node,
		Incarnation:   uint64(p.incarnation),
		Centre:        settings.Centre,
		Listen:        settings.Listen,
		Admin:         settings.Admin,
		Data:          settings.Data,
		Replicas:      replicas,
		Join:          settings.Join,
		Silence:       settings.Silence.Std(),
		Heartbeat:     settings.Heartbeat.Std(),
		Election:      settings.Election.Std(),
		Lost:          settings.Lost.Std(),
		SnapshotEvery: settings.SnapshotEvery,
		Loads:         settings.Loads,
		Log:           p.log,
		Timeline:      p.timeline,
		Network:       p.network,
	})
	if err != nil {
		return err
	}
	defer func() { _ = cleanup() }()
	attendant := newControlAttendant(settings, p)
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
		wg.Go(func() { _ = attendant.Run(runCtx) })
		return s.Run(runCtx)
	})
}
