package saddleagent

import (
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// holds reports whether the target is the one that a stage was chosen for and
// holds the same layers of the same version. Another target may have taken the
// slot since, or an order may have changed what an engine holds.
func (b *backend) holds(stage *saddlewire.Stage) bool {
	return stage.GetTarget() == b.info.GetId() &&
		stage.GetGroup() == b.info.GetGroup() &&
		stage.GetVersion() == b.info.GetVersion() &&
		proto.Equal(stage.GetLayers(), b.info.GetLayers())
}

// holds is the same for the target that is in the slot now.
func (s *Server) holds(stage *saddlewire.Stage) bool {
	b, _ := s.slot.current()
	return b != nil && b.holds(stage)
}

// headOf returns the stage that a draft asks of this agent, nil when it names
// none.
func headOf(in *saddlewire.DraftRequest) *saddlewire.Stage {
	if len(in.GetChain()) == 0 {
		return nil
	}
	return in.GetChain()[0]
}
