package saddleroute

import (
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Result is what the end of an attempt says of one of its targets.
type Result struct {
	Outcome saddleretry.Outcome
	Load    *saddlewire.Load // as the last answer reported it, nil: unknown
	Rate    float64          // tokens a second from the first token on, 0: unknown
}
