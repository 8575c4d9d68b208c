package saddlecontrol

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// registerReply is the core's reply to a registerEvent, sent once the registration is in
// the registry.
type registerReply struct {
	departed bool // the log already records the departure of this incarnation
}

// registerEvent delivers the registration of a target without an agent.
type registerEvent struct {
	registration *saddlewire.Registration
	reply        chan registerReply // of capacity 1
}

func (e registerEvent) handle(now time.Time, c *core) { e.reply <- c.register(now, e.registration) }

// findRegistrationEvent requests the registration of a target from this replica's
// registry.
type findRegistrationEvent struct {
	id    string
	reply chan *saddlewire.Registration // of capacity 1
}

func (e findRegistrationEvent) handle(_ time.Time, c *core) { e.reply <- c.registry.Find(e.id) }

// EngineState is what the leader learned about the engines by probing them.
type EngineState struct {
	StepTimeFactors []*saddlewire.Pace        // step time factors of slow engines
	OccupiedTokens  []*saddlewire.SectionLoad // occupied tokens of the engines
}

// engineStateEvent delivers the result of probing the engines.
type engineStateEvent struct {
	state EngineState
}

func (e engineStateEvent) handle(_ time.Time, c *core) {
	c.engineState = e.state
	c.engineStateNumber++
}

// SetEngineState replaces the engine state that is sent to the entries with their next
// update. It changes with almost every probe, so it causes no update of its own.
func (s *Server) SetEngineState(ctx context.Context, state EngineState) error {
	return s.post(ctx, engineStateEvent{state: state})
}

func (c *core) register(now time.Time, reg *saddlewire.Registration) registerReply {
	if c.registry.Put(now, reg) {
		c.cfg.Log.Info().Str("target", reg.GetId()).Str("group", reg.GetGroup()).Str("address", reg.GetAddress()).
			Uint64("target_incarnation", reg.GetIncarnation()).Uint64("sequence", reg.GetSequence()).
			Bool("leaving", reg.GetLeaving()).Int("layer_ranges", len(reg.GetLayers())).Msg("target registered")
		c.cfg.Timeline.Add(now, saddletimeline.Event{Name: "registered", Target: reg.GetId(), Subject: reg.GetGroup()})
		c.wakeSubscribers()
	}
	return registerReply{departed: c.state.Departed(reg.GetId(), reg.GetIncarnation())}
}

// Register stores the registration of a target without an agent. If the target is
// leaving, Register returns only after a majority has committed the departure. From then
// on the departure is sent to every node. A registration that cannot be encoded is refused
// with a *fireflysaddle.RefusedError, because no update that contains it could be sent.
func (s *Server) Register(ctx context.Context, reg *saddlewire.Registration) error {
	if _, err := proto.Marshal(reg); err != nil {
		return &fireflysaddle.RefusedError{Code: fireflysaddle.CodeInvalid, Message: "the registration cannot be encoded: " + err.Error()}
	}
	reply := make(chan registerReply, 1)
	r, err := ask(ctx, s, registerEvent{registration: reg, reply: reply}, reply)
	if err != nil || !reg.GetLeaving() || r.departed {
		return err
	}
	return s.RecordDeparture(ctx, reg.GetId(), reg.GetIncarnation())
}

// FindRegistration returns the registration of a target in this replica's registry, or
// nil if there is none.
func (s *Server) FindRegistration(ctx context.Context, id string) (*saddlewire.Registration, error) {
	reply := make(chan *saddlewire.Registration, 1)
	return ask(ctx, s, findRegistrationEvent{id: id, reply: reply}, reply)
}

const (
	// heardPeriod is how far back a replica reports the registrations that it received. It
	// is two intervals between heartbeats of control processes, so that one of them may be
	// lost.
	heardPeriod = time.Second
	// heardInterval is the time between two collections of these registrations.
	heardInterval = 250 * time.Millisecond
)

// heardRegistrations holds the fingerprints of the registrations that this replica received
// within heardPeriod before a time.
type heardRegistrations struct {
	collectedAt  time.Time // with a monotonic reading, unlike the time of the core's clock
	fingerprints []uint64
}

// collectHeard collects the registrations received lately if heardInterval has passed. now
// is the time of the core's clock.
func (c *core) collectHeard(now, monotonic time.Time) {
	if last := c.heard.Load(); last != nil && monotonic.Sub(last.collectedAt) < heardInterval {
		return
	}
	c.heard.Store(&heardRegistrations{collectedAt: monotonic, fingerprints: c.registry.HeardSince(now.Add(-heardPeriod))})
}

// HeardRegistrations returns the fingerprints of the registrations that this replica
// received lately, for its heartbeats to the other replicas. It does not wait for the core,
// which may be waiting for the disk, and returns none if the latest collection is too old.
func (s *Server) HeardRegistrations(now time.Time) []uint64 {
	heard := s.core.heard.Load()
	if heard == nil || now.Sub(heard.collectedAt) > heardPeriod {
		return nil
	}
	return heard.fingerprints
}

// RecordDeparture records in the log that an incarnation of a target accepts no new work.
func (s *Server) RecordDeparture(ctx context.Context, id string, incarnation uint64) error {
	_, err := s.Commit(ctx, &saddlewire.Command{
		Change: &saddlewire.Command_PutDeparture{PutDeparture: &saddlewire.PutDeparture{Target: id, Incarnation: incarnation}},
	})
	return err
}
