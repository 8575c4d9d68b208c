package saddlestage

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// key identifies an attempt.
type key struct {
	request string
	attempt uint32
}

// keyOf returns the attempt that a frame belongs to.
func keyOf(f *saddlewire.Frame) key {
	return key{request: f.GetRequest(), attempt: f.GetAttempt()}
}

// session is one attempt at one stage. The table's lock guards it.
type session struct {
	key      key
	chain    []*saddlewire.Stage
	index    uint32
	priority int32
	expires  time.Time
	heard    time.Time // when the last frame came in

	accepted uint32 // positions that were run or wait in the inbox
	done     uint32 // positions that were run
	resume   uint32 // outcomes before it are kept but not handed on
	exported uint32 // positions of the last export
	failed   string // why the stage cannot go on

	repair    uint32 // highest number of repairs known
	commanded uint32 // repair of the last REPLAY
	upstream  uint32 // repairs that the stage before knew; its earlier frames are stale
	restored  uint32 // repair that put the next stage in place; its earlier exports are stale

	outbox outbox

	ctx     context.Context // ends with the session
	cancel  context.CancelFunc
	inbox   []*saddlewire.Frame
	running bool
	closed  bool
	ended   chan struct{}   // closed when no work of a closed session is left
	before  <-chan struct{} // the end of the session that this one replaced
	misses  int             // probes that the head did not answer
}

// accept takes in the next step. ok is false for one that was accepted before
// or comes from a stage that was replaced; one that leaves positions out is a
// *fireflysaddle.PositionError.
func (s *session) accept(f *saddlewire.Frame) (ok bool, err error) {
	if f.GetRepair() < s.upstream || f.GetPosition()+f.GetCount() <= s.accepted {
		return false, nil
	}
	if f.GetPosition() != s.accepted {
		return false, &fireflysaddle.PositionError{
			Request: fireflysaddle.RequestID(s.key.request),
			Want:    fireflysaddle.Position(s.accepted),
			Got:     fireflysaddle.Position(f.GetPosition()),
		}
	}
	s.accepted += f.GetCount()
	return true, nil
}

// learn takes in what a frame from the stage before says of repairs.
func (s *session) learn(f *saddlewire.Frame) {
	if f.GetRepair() <= s.upstream {
		return
	}
	s.upstream = f.GetRepair()
	if f.GetRepair() > s.repair {
		s.adopt(f)
	}
}

// adopt takes over the chain of a frame that knows of a later repair. A new
// stage before this one needs an export soon: it has none.
func (s *session) adopt(f *saddlewire.Frame) {
	s.repair = f.GetRepair()
	if len(f.GetChain()) != len(s.chain) {
		return
	}
	if s.index > 0 && !sameAgent(s.chain[s.index-1], f.GetChain()[s.index-1]) {
		s.exported = 0
	}
	s.chain = f.GetChain()
}

func sameAgent(a, b *saddlewire.Stage) bool {
	return a.GetAddress() == b.GetAddress() && a.GetIncarnation() == b.GetIncarnation()
}

// busy reports whether the stage has something to run.
func (s *session) busy() bool { return s.running || len(s.inbox) > 0 }

// last reports whether the stage is the last of its chain.
func (s *session) last() bool {
	return int(s.index) == len(s.chain)-1
}

// head returns the address of the chain's head.
func (s *session) head() string { return s.chain[0].GetAddress() }

// after returns the stage that the next frame of a step goes to.
func (s *session) after() *saddlewire.Stage {
	if s.last() {
		return s.chain[0]
	}
	return s.chain[s.index+1]
}

// dueForExport reports whether the next export is due.
func (s *session) dueForExport(every uint32) bool {
	return s.index > 0 && every > 0 && len(s.inbox) == 0 && s.failed == "" &&
		s.done-s.exported >= max(every, s.done/exportShare)
}

// frame returns the frame that hands an outcome on.
func (s *session) frame(now time.Time, o outcome) *saddlewire.Frame {
	f := &saddlewire.Frame{
		Kind:       saddlewire.Frame_STEP,
		Request:    s.key.request,
		Attempt:    s.key.attempt,
		Position:   o.position,
		Count:      o.count,
		Index:      s.index + 1,
		Activation: o.activation,
		Repair:     s.repair,
	}
	if s.last() {
		f.Kind = saddlewire.Frame_TOKEN
		f.Index = 0
		f.Token = o.token
		f.Activation = nil
		return f
	}
	if o.position == 0 || s.repair > 0 {
		s.introduce(now, f)
	}
	return f
}

// introduce adds what a stage needs that does not know the attempt.
func (s *session) introduce(now time.Time, f *saddlewire.Frame) {
	f.Chain = s.chain
	f.Priority = s.priority
	f.BudgetMs = s.expires.Add(-sessionTTL).Sub(now).Milliseconds()
}

// restoreFrame returns the frame with which a replacement takes the place of
// the next stage.
func (s *session) restoreFrame(now time.Time, resume uint32) *saddlewire.Frame {
	e := s.outbox.export
	f := &saddlewire.Frame{
		Kind:       saddlewire.Frame_RESTORE,
		Request:    s.key.request,
		Attempt:    s.key.attempt,
		Position:   e.positions,
		Count:      e.last.count,
		Index:      s.index + 1,
		Activation: e.last.activation,
		Token:      e.last.token,
		Repair:     s.repair,
		Resume:     resume,
		Cache:      e.cache,
	}
	s.introduce(now, f)
	return f
}
