package saddlegateway

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlesse"
)

// isEventStream reports whether an answer to a streaming request is a stream of events,
// which is assumed of an answer without a content type.
func isEventStream(h http.Header) bool {
	contentType := h.Get("Content-Type")
	if contentType == "" {
		return true
	}
	media, _, err := mime.ParseMediaType(contentType)
	return err == nil && media == "text/event-stream"
}

// relayBody sends an answer that is not a stream of events to the caller, unless an answer
// to the caller has begun.
func (j *job) relayBody(reply *fireflysaddle.Reply) (ended bool, failure string) {
	if j.headerSent {
		return false, "the rest of the stream has the content type " + reply.Header.Get("Content-Type")
	}
	part, err := j.readFirst(reply, j.attemptAddress)
	defer part.release()
	if err != nil {
		return false, "answer truncated: " + err.Error()
	}
	j.sendAnswer(reply, part)
	return true, ""
}

// errNoEvent reports a body without an event that ended with its connection. Its end is
// no evidence that the engine had nothing to send.
var errNoEvent = errors.New("the connection ended before the first event")

// relay sends events to the caller as they arrive, except those that the caller has
// already received. If an event of a further attempt does not continue the stream, the attempt
// has failed.
func (j *job) relay(ctx context.Context, reply *fireflysaddle.Reply, watch *watchdog) (ended bool, failure string) {
	events, reserve, release := j.newEventReader(reply)
	defer release()
	r := &streamRelay{job: j, reply: reply, watch: watch, further: j.headerSent, reserve: reserve}
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) && j.attemptEvents == 0 && reply.Framing == fireflysaddle.FramingClose {
			err = errNoEvent
		}
		if errors.Is(err, io.EOF) {
			return r.end(e)
		}
		if err == nil {
			err = r.receive(e)
		}
		if err != nil {
			return false, j.recordInterruption(ctx, err)
		}
		if err := r.deliver(e, events.Buffered()); err != nil {
			return j.endUndelivered(err)
		}
	}
}

// endUndelivered ends an attempt whose events cannot be sent to the caller.
func (j *job) endUndelivered(err error) (ended bool, failure string) {
	if errors.Is(err, errProcessEnding) {
		return false, err.Error()
	}
	j.endDisconnected()
	return true, ""
}

// recordInterruption records that a stream ended before its end was reached, as a fault of
// the target unless the context ended. It returns the reason.
func (j *job) recordInterruption(ctx context.Context, err error) string {
	var partial *saddlesse.PartialEventError
	if errors.As(err, &partial) {
		j.partialBytes = partial.Bytes
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	} else {
		j.cfg.Fleet.RecordFault(time.Now(), j.attemptAddress, err.Error())
		j.failedHeads = append(j.failedHeads, j.attemptAddress)
		j.recordUnanswered()
	}
	return "stream interrupted: " + err.Error()
}

func (j *job) endStream(reply *fireflysaddle.Reply) (ended bool, failure string) {
	if !j.headerSent {
		j.headerSent = true
		if j.responder.Begin(reply) != nil {
			j.endDisconnected()
			return true, ""
		}
	}
	if j.attemptEvents > 0 {
		j.cfg.Fleet.MarkWorking(time.Now(), j.attemptAddress)
	}
	j.recordHarmless()
	countAnswered.Add(1)
	j.recordEnd("answered", "", "")
	return true, ""
}

// alreadyDelivered reports whether the caller has already received the event with an
// identifier. The check is needed because a further attempt may repeat events. Events
// without a numeric identifier never count as delivered.
func (j *job) alreadyDelivered(id string) bool {
	if id == "" || j.lastEventID == "" {
		return false
	}
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	last, err := strconv.ParseUint(j.lastEventID, 10, 64)
	return err == nil && n <= last
}
