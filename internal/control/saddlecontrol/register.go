package saddlecontrol

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// registration is what the core answers to a target's report.
type registration struct {
	departed bool // its start is recorded as leaving
}

// registerEvent brings what a target without an agent says of itself.
type registerEvent struct {
	registration *saddlewire.Registration
	reply        chan registration // of capacity 1
}

func (e registerEvent) handle(now time.Time, c *core) { e.reply <- c.register(now, e.registration) }

// findEvent asks for what a target last said of itself to this replica.
type findEvent struct {
	id    string
	reply chan *saddlewire.Registration // of capacity 1
}

func (e findEvent) handle(_ time.Time, c *core) { e.reply <- c.registry.Find(e.id) }

// EngineState is what the leader learnt of the engines by asking them.
type EngineState struct {
	Paces    []*saddlewire.Pace       // of slow engines
	Occupied []*saddlewire.CentreLoad // tokens that the engines of each data centre hold
}

// engineStateEvent brings what was learnt of the engines.
type engineStateEvent struct {
	state EngineState
}

func (e engineStateEvent) handle(_ time.Time, c *core) {
	c.engines = e.state
	c.wakeAttendees()
}

// SetEngineState has the entries know what was learnt of the engines. It replaces
// what was said before.
func (s *Server) SetEngineState(ctx context.Context, state EngineState) error {
	return s.post(ctx, engineStateEvent{state: state})
}

func (c *core) register(now time.Time, reg *saddlewire.Registration) registration {
	if c.registry.Take(now, reg) {
		c.cfg.Log.Info().Str("target", reg.GetId()).Str("group", reg.GetGroup()).Str("address", reg.GetAddress()).
			Uint64("target_incarnation", reg.GetIncarnation()).Uint64("sequence", reg.GetSequence()).
			Bool("leaving", reg.GetLeaving()).Int("layer_ranges", len(reg.GetLayers())).Msg("target registered")
		c.cfg.Timeline.Add(now, saddletimeline.Event{Name: "registered", Target: reg.GetId(), Subject: reg.GetGroup()})
		c.wakeAttendees()
	}
	return registration{departed: c.state.Departed(reg.GetId(), reg.GetIncarnation())}
}

// Register takes in what a target without an agent says of itself. For one that
// is leaving it returns once that is recorded by a majority, from when on every
// node hears of it.
func (s *Server) Register(ctx context.Context, reg *saddlewire.Registration) error {
	reply := make(chan registration, 1)
	r, err := ask(ctx, s, registerEvent{registration: reg, reply: reply}, reply)
	if err != nil || !reg.GetLeaving() || r.departed {
		return err
	}
	return s.RecordDeparture(ctx, reg.GetId(), reg.GetIncarnation())
}

// FindRegistration returns what a target last said of itself to this replica, nil when
// it has said nothing here.
func (s *Server) FindRegistration(ctx context.Context, id string) (*saddlewire.Registration, error) {
	reply := make(chan *saddlewire.Registration, 1)
	return ask(ctx, s, findEvent{id: id, reply: reply}, reply)
}

// RecordDeparture records that a start of a target takes no new work any more.
func (s *Server) RecordDeparture(ctx context.Context, id string, incarnation uint64) error {
	_, err := s.Commit(ctx, &saddlewire.Command{
		Change: &saddlewire.Command_PutDeparture{PutDeparture: &saddlewire.PutDeparture{Target: id, Incarnation: incarnation}},
	})
	return err
}
