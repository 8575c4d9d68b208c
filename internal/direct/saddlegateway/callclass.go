package saddlegateway

import (
	"math/bits"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// maxOutputUnits bounds the number of tokens with which durations are multiplied.
const maxOutputUnits = 1_000_000

// outputSize is what the caller of a stream says about its length.
type outputSize int

const (
	sizeUnknown   outputSize = iota
	sizeLimited              // at most how many tokens
	sizeEstimated            // about how many tokens
)

// callClass is a class of calls that take about equally long, streams in proportion to their
// tokens.
type callClass struct {
	group     fireflysaddle.Group
	kind      saddlerouting.Kind
	size      outputSize // sizeUnknown for plain calls
	magnitude int        // of the estimate, see ofMagnitude; 0: all
}

// ofMagnitude returns the class of the calls whose callers estimate a similar length, within a
// factor of four. Callers whose estimates are meaningless, such as 1 for all streams, then do not
// change what is expected of the others.
func (c callClass) ofMagnitude(units int) callClass {
	if c.size == sizeEstimated {
		c.magnitude = 1 + bits.Len(uint(units))/2
	}
	return c
}

func (j *job) class() callClass {
	c := callClass{group: j.pool.Group, kind: j.route.Kind}
	switch {
	case j.route.Kind != saddlerouting.Streaming:
	case j.call.OutputTokensHint > 0:
		c.size = sizeEstimated
	case j.call.MaxOutputTokens > 0:
		c.size = sizeLimited
	}
	return c
}

// outputUnits returns the number of parts into which the duration of an answer is divided: the
// tokens that the caller estimates or allows.
func (j *job) outputUnits() int {
	units := j.call.MaxOutputTokens
	if hint := j.call.OutputTokensHint; hint > 0 && (units <= 0 || hint < units) {
		units = hint
	}
	return min(max(1, units), maxOutputUnits)
}
