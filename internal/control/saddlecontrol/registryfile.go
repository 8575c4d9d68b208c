package saddlecontrol

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleregistry"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// saveInterval is the shortest time between two writes of the registry file.
const saveInterval = time.Second

// registrySnapshot holds the registrations to save.
type registrySnapshot struct {
	version uint64
	content *saddlewire.Update // nil: unchanged since the last save
}

// registrySnapshotEvent requests the registrations if they changed since savedVersion.
type registrySnapshotEvent struct {
	savedVersion uint64
	reply        chan registrySnapshot // of capacity 1
}

func (e registrySnapshotEvent) handle(_ time.Time, c *core) {
	out := registrySnapshot{version: c.registry.Version()}
	if out.version != e.savedVersion {
		out.content = c.registry.All()
	}
	e.reply <- out
}

// saveRegistry writes the registry file whenever the registrations have changed. It
// runs outside the core, which must not block on this file.
func (s *Server) saveRegistry(ctx context.Context) {
	tick := time.NewTicker(saveInterval)
	defer tick.Stop()
	var savedVersion uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		reply := make(chan registrySnapshot, 1)
		next, err := ask(ctx, s, registrySnapshotEvent{savedVersion: savedVersion, reply: reply}, reply)
		if err != nil {
			return // the replica is stopping
		}
		if next.content == nil {
			continue
		}
		if err := saddleregistry.Save(s.cfg.RegistryFile, next.content); err != nil {
			s.cfg.Log.Warn().Err(err).Msg("failed to save registrations; a restarted process would wait for heartbeats")
			continue
		}
		savedVersion = next.version
	}
}

// restoreRegistry loads the registrations from the registry file.
func (c *core) restoreRegistry(now time.Time) {
	if c.cfg.RegistryFile == "" {
		return
	}
	saved, err := saddleregistry.Load(c.cfg.RegistryFile)
	if err != nil {
		c.cfg.Log.Warn().Err(err).Msg("failed to read saved registrations; waiting for heartbeats")
		return
	}
	c.registry.Restore(now, saved)
	c.cfg.Log.Info().Int("targets", len(saved.GetRegistrations())).Msg("saved registrations restored")
}
