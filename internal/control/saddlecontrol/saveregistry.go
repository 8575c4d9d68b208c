package saddlecontrol

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleregistry"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// saveEvery is the least time between two savings of the registrations.
const saveEvery = time.Second

// savedRegistry is what is to be saved of the registrations.
type savedRegistry struct {
	version uint64
	content *saddlewire.Update // nil: as saved before
}

// saveEvent asks for the registrations if they have changed.
type saveEvent struct {
	have  uint64
	reply chan savedRegistry // of capacity 1
}

func (e saveEvent) handle(_ time.Time, c *core) {
	out := savedRegistry{version: c.registry.Version()}
	if out.version != e.have {
		out.content = c.registry.All()
	}
	e.reply <- out
}

// keepRegistry saves the registrations when they have changed. It runs beside the
// core, which must not wait for this file.
func (s *Server) keepRegistry(ctx context.Context) {
	tick := time.NewTicker(saveEvery)
	defer tick.Stop()
	var have uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		reply := make(chan savedRegistry, 1)
		next, err := ask(ctx, s, saveEvent{have: have, reply: reply}, reply)
		if err != nil {
			return // this replica stops
		}
		if next.content == nil {
			continue
		}
		if err := saddleregistry.Save(s.cfg.RegistryFile, next.content); err != nil {
			s.cfg.Log.Warn().Err(err).Msg("registrations not saved; a new process waits for heartbeats")
			continue
		}
		have = next.version
	}
}

// restoreRegistry takes in the registrations that were saved.
func (c *core) restoreRegistry(now time.Time) {
	if c.cfg.RegistryFile == "" {
		return
	}
	saved, err := saddleregistry.Load(c.cfg.RegistryFile)
	if err != nil {
		c.cfg.Log.Warn().Err(err).Msg("saved registrations not read; heartbeats will tell")
		return
	}
	c.registry.Restore(now, saved)
	c.cfg.Log.Info().Int("targets", len(saved.GetRegistrations())).Msg("saved registrations read")
}
