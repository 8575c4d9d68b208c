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

// session is one attempt at one stage. It is guarded by the table's lock.
type session struct {
	key         key
	chain       []*saddlewire.Stage
	index       uint32
	priority    int32
	expires     time.Time
	lastFrameAt time.Time // arrival of the last step frame

	accepted   uint32 // positions completed or queued in the inbox
	completed  uint32 // positions that the engine has run
	resumeFrom uint32 // outputs before this position are stored but not sent
	lastExport uint32 // completed positions at the last export
	failure    string // why the stage cannot continue; empty if it can

	repairSeq         uint32 // latest repair known here
	replayRepairSeq   uint32 // repair of the last REPLAY frame
	upstreamRepairSeq uint32 // latest repair known to the preceding stage; frames of earlier repairs are stale
	restoreRepairSeq  uint32 // repair that replaced the next stage; exports of earlier repairs are stale

	outbox outbox

	ctx              context.Context // ends with the session
	cancel           context.CancelFunc
	inbox            []*saddlewire.Frame
	running          bool
	closed           bool
	ended            chan struct{}   // closed when the session is closed and its worker has ended
	predecessorEnded <-chan struct{} // ended channel of the session that this one replaced
	unansweredPings  int             // consecutive pings that the head did not answer
}

// accept records the positions of the next step. ok is false for a duplicate and
// for a frame of a stage that was replaced. err is a
// *fireflysaddle.PositionError for any other frame that does not start at the
// next position.
func (s *session) accept(f *saddlewire.Frame) (ok bool, err error) {
	if f.GetRepair() < s.upstreamRepairSeq || f.GetPosition()+f.GetCount() <= s.accepted {
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

// updateUpstreamRepair records the repair number of a frame from the preceding
// stage and adopts the chain of a later repair.
func (s *session) updateUpstreamRepair(f *saddlewire.Frame) {
	if f.GetRepair() <= s.upstreamRepairSeq {
		return
	}
	s.upstreamRepairSeq = f.GetRepair()
	if f.GetRepair() > s.repairSeq {
		s.adoptChain(f)
	}
}

// adoptChain adopts the chain of a frame with a later repair number. If the
// preceding stage was replaced, its replacement holds no export of this stage. In
// that case lastExport is reset so that the next export is due sooner.
func (s *session) adoptChain(f *saddlewire.Frame) {
	s.repairSeq = f.GetRepair()
	if len(f.GetChain()) != len(s.chain) {
		return
	}
	if s.index > 0 && !sameAgent(s.chain[s.index-1], f.GetChain()[s.index-1]) {
		s.lastExport = 0
	}
	s.chain = f.GetChain()
}

func sameAgent(a, b *saddlewire.Stage) bool {
	return a.GetAddress() == b.GetAddress() && a.GetIncarnation() == b.GetIncarnation()
}

// busy reports whether the stage runs a step or has frames queued.
func (s *session) busy() bool { return s.running || len(s.inbox) > 0 }

func (s *session) isLast() bool {
	return int(s.index) == len(s.chain)-1
}

func (s *session) headAddress() string { return s.chain[0].GetAddress() }

// nextStage returns the receiver of this stage's outputs, which for the last
// stage is the head.
func (s *session) nextStage() *saddlewire.Stage {
	if s.isLast() {
		return s.chain[0]
	}
	return s.chain[s.index+1]
}

// exportDue reports whether an export is due. The number of positions completed
// since the last export must be at least interval, and at least 1/exportDivisor of
// all completed positions. No export is due at the head, while frames are queued,
// after a failure, or if interval is 0.
func (s *session) exportDue(interval uint32) bool {
	return s.index > 0 && interval > 0 && len(s.inbox) == 0 && s.failure == "" &&
		s.completed-s.lastExport >= max(interval, s.completed/exportDivisor)
}

// outputFrame returns the frame that carries an output to the next stage, or to
// the head.
func (s *session) outputFrame(now time.Time, o stepOutput) *saddlewire.Frame {
	f := &saddlewire.Frame{
		Kind:       saddlewire.Frame_STEP,
		Request:    s.key.request,
		Attempt:    s.key.attempt,
		Position:   o.position,
		Count:      o.count,
		Index:      s.index + 1,
		Activation: o.activation,
		Repair:     s.repairSeq,
	}
	if s.isLast() {
		f.Kind = saddlewire.Frame_TOKEN
		f.Index = 0
		f.Token = o.token
		f.Activation = nil
		return f
	}
	if o.position == 0 || s.repairSeq > 0 {
		s.addSessionFields(now, f)
	}
	return f
}

// addSessionFields adds the fields with which a stage can open a session for an
// attempt that it does not know.
func (s *session) addSessionFields(now time.Time, f *saddlewire.Frame) {
	f.Chain = s.chain
	f.Priority = s.priority
	f.BudgetMs = s.expires.Add(-sessionGracePeriod).Sub(now).Milliseconds()
}

// restoreFrame returns the frame to send to a replacement of the next stage. The
// frame opens the session at the replacement and contains the export from which the
// replacement starts.
func (s *session) restoreFrame(now time.Time, resume uint32) *saddlewire.Frame {
	e := s.outbox.export
	f := &saddlewire.Frame{
		Kind:       saddlewire.Frame_RESTORE,
		Request:    s.key.request,
		Attempt:    s.key.attempt,
		Position:   e.positions,
		Count:      e.lastOutput.count,
		Index:      s.index + 1,
		Activation: e.lastOutput.activation,
		Token:      e.lastOutput.token,
		Repair:     s.repairSeq,
		Resume:     resume,
		Cache:      e.cache,
	}
	s.addSessionFields(now, f)
	return f
}
