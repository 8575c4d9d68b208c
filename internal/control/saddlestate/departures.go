package saddlestate

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// departureRetention is how long a departure is kept, in log time. It far exceeds
// both the time that a target continues to serve after its departure and the
// possible delay of a heartbeat.
const departureRetention = 10 * time.Minute

// Departed reports whether a departure was recorded for this incarnation of a
// target or for a later incarnation.
func (s *State) Departed(target string, incarnation uint64) bool {
	d, ok := s.departures[target]
	return ok && d.GetIncarnation() >= incarnation
}

// DeparturesSince returns the departures recorded after a revision.
func (s *State) DeparturesSince(revision uint64) []*saddlewire.Departure {
	var out []*saddlewire.Departure
	for _, d := range s.departures {
		if d.GetIndex() > revision {
			out = append(out, d)
		}
	}
	return out
}

// putDeparture records that an incarnation of a target accepts no new work, and
// removes the departures whose retention period is over.
func (s *State) putDeparture(index uint64, put *saddlewire.PutDeparture) *saddlewire.Result {
	if put.GetTarget() == "" {
		return refuse(fireflysaddle.CodeInvalid, "a departure names no target")
	}
	if s.Departed(put.GetTarget(), put.GetIncarnation()) {
		return s.accept(s.revision, s.revision)
	}
	for id, d := range s.departures {
		if s.now-d.GetNowNs() > int64(departureRetention) {
			delete(s.departures, id)
		}
	}
	s.departures[put.GetTarget()] = &saddlewire.Departure{
		Target: put.GetTarget(), Incarnation: put.GetIncarnation(), Index: index, NowNs: s.now,
	}
	return s.accept(index, index)
}
