package saddleroute

import (
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Result is the result of an attempt for one of its targets.
type Result struct {
	Outcome saddleretry.Outcome
	Load    *saddlewire.Load // as reported with the last answer, nil: unknown
	Rate    float64          // tokens per second after the first token, 0: unknown
}
