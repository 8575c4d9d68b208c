package saddlesubscriber_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// logLines collects log lines.
type logLines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logLines) containing(text string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for line := range strings.Lines(l.buf.String()) {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}

// Pattern: a replica cannot send its update, and each stream ends at once.
// Guards against a node that is cut off without a line that says why, or with one for each
// attempt.
func TestLostStreamIsLoggedOnceWithItsCause(t *testing.T) {
	is := is.New(t)
	var log logLines
	f := newFakeReplica(t)
	s := startSubscriberWithLog(t, zerolog.New(&log), f.address)
	await(t, "updates", func() bool { return len(log.containing("begin")) == 1 })

	f.setUpdate(&saddlewire.Update{Snapshot: true, Registrations: []*saddlewire.Registration{{Id: "\xff"}}})
	await(t, "the stream to be lost", func() bool { return s.View().Connected == 0 })
	time.Sleep(time.Second) // several attempts
	f.setUpdate(&saddlewire.Update{Snapshot: true, Revision: 1})
	await(t, "updates again", func() bool { return len(log.containing("begin")) == 2 })
	lost := log.containing("connecting again")
	is.Equal(len(lost), 1)
	is.True(strings.Contains(lost[0], "UTF-8"))
}
