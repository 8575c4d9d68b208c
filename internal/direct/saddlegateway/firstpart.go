package saddlegateway

import (
	"net/http"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlebudget"
)

// Sizes of the buffer for the rest of a body. The base share of an answer covers the smaller one.
const (
	copyBytes      = 32 << 10
	smallCopyBytes = 8 << 10
)

// firstPart is the part of an answer's body that is read before its header is sent to the caller.
type firstPart struct {
	saddlebudget.FirstPart
	share   *saddlebudget.Share
	release func() // returns the memory
}

// readFirst reads the first part of the answer of the target at an address. The caller must
// release it.
func (j *job) readFirst(reply *fireflysaddle.Reply, address string) (*firstPart, error) {
	part := &firstPart{}
	part.share, part.release = j.cfg.Budget.Open(address)
	limit := bufferedAnswerBytes
	if j.held {
		limit = heldAnswerBytes
	}
	announced := reply.Length
	if j.call.Method == http.MethodHead {
		announced = 0
	}
	var err error
	part.FirstPart, err = saddlebudget.ReadFirst(reply.Body, limit, announced, part.share)
	if part.Refused != nil {
		j.logExhausted(part.Refused).Int("bytes", len(part.Bytes)).Msg("answer passed on before its first part was complete")
	}
	return part, err
}

// copyBuffer returns the memory of the part, which has been sent, and a buffer for the rest of
// the body.
func (p *firstPart) copyBuffer() []byte {
	p.Bytes = nil
	p.release()
	if err := p.share.Grow(copyBytes); err != nil {
		return make([]byte, smallCopyBytes)
	}
	return make([]byte, copyBytes)
}

// logExhausted starts the log line about an answer for which there was no memory.
func (j *job) logExhausted(e *saddlebudget.ExhaustedError) *zerolog.Event {
	return j.logEvent(zerolog.WarnLevel).Str("address", e.Address).Int64("wanted_bytes", int64(e.Wanted)).
		Int64("target_bytes", int64(e.Held)).Int64("free_bytes", int64(e.Free))
}
