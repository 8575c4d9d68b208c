package saddleentry

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
)

// sparesPerStage is the number of spare targets that the head of a chain gets for each
// later stage.
const sparesPerStage = 2

// spares returns the targets with which the head of a chain may replace later stages
// without involving the entry.
func (s *Server) spares(chain saddlechain.Chain, requirements saddleroute.Requirements) []saddlechain.Stage {
	if chain.Len() == 1 {
		return nil
	}
	return s.router.Spares(time.Now(), s.subscriber.View(), requirements, chain, sparesPerStage)
}
