package saddlesubscriber

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// errSilent is the cause of the end of a stream on which no update has arrived in time.
var errSilent = eris.New("no update within the time limit")

// streamError returns why a stream ended: the reason for which this node ended it, or else
// the error that it received.
func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// streamLog logs when the updates of a replica begin and end. It logs only changes, as a
// replica that is down is dialled several times a second.
type streamLog struct {
	log      zerolog.Logger
	state    streamState
	attempts int // failed since the updates ended
}

type streamState int

const (
	streamNew streamState = iota
	streamConnected
	streamLost
)

// connected records an update.
func (l *streamLog) connected() {
	if l.state == streamConnected {
		return
	}
	l.log.Info().Int("failed_attempts", l.attempts).Msg("updates of a control replica begin")
	l.state, l.attempts = streamConnected, 0
}

// lost records the end of a stream. It is no warning: a node has a stream to each replica, and
// one is enough.
func (l *streamLog) lost(err error) {
	l.attempts++
	if l.state == streamLost {
		return
	}
	l.log.Info().Err(err).Msg("no updates of a control replica; connecting again")
	l.state = streamLost
}
