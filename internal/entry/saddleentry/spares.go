package saddleentry

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
)

// sparesPerStage is how many replacements of each later stage a head is given.
const sparesPerStage = 2

// spares returns the targets with which the head of a chain may replace the
// other stages by itself.
func (s *Server) spares(chain saddlechain.Chain, need saddleroute.Requirements) []saddlechain.Stage {
	if chain.Len() == 1 {
		return nil
	}
	return s.router.Spares(time.Now(), s.attendant.View(), need, chain, sparesPerStage)
}
