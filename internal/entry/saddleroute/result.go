package saddleroute

import (
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Result describes the part of one target in a finished attempt.
type Result struct {
	Outcome saddleretry.Outcome
	Load    *saddlewire.Load // latest load report that came with an answer, nil: none
	Rate    float64          // tokens per second after the first token, 0: unknown
}
