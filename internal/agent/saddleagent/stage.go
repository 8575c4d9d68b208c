package saddleagent

import (
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// matchesStage reports whether the backend is the target that was chosen for the
// stage and still holds the layers, group and version for which it was chosen.
// Since then, another target may have been announced, or an order may have changed
// what the engine holds.
func (b *backend) matchesStage(stage *saddlewire.Stage) bool {
	return stage.GetTarget() == b.target.GetId() &&
		stage.GetGroup() == b.target.GetGroup() &&
		stage.GetVersion() == b.target.GetVersion() &&
		proto.Equal(stage.GetLayers(), b.target.GetLayers())
}

// matchesStage reports whether the agent's live target matches the stage.
func (s *Server) matchesStage(stage *saddlewire.Stage) bool {
	b, _ := s.localTarget.live()
	return b != nil && b.matchesStage(stage)
}

// headStage returns the first stage of a draft's chain, or nil when the chain is
// empty.
func headStage(in *saddlewire.DraftRequest) *saddlewire.Stage {
	if len(in.GetChain()) == 0 {
		return nil
	}
	return in.GetChain()[0]
}
