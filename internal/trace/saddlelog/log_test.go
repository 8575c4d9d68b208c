package saddlelog_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddlelog"
)

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}

	mu  sync.Mutex
	out bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// Logging does not wait for a blocked output, and dropped lines are reported in the
// log.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	is := is.New(t)
	s := &blockedWriter{unblock: make(chan struct{})}
	w, flush := saddlelog.New(s)
	const lineCount = 20_000
	for i := range lineCount {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		is.NoErr(err)
	}
	close(s.unblock)
	is.NoErr(flush())
	s.mu.Lock()
	defer s.mu.Unlock()
	is.True(bytes.Contains(s.out.Bytes(), []byte("log lines dropped")))
	is.True(bytes.Contains(s.out.Bytes(), []byte(fmt.Sprintf("line %d\n", lineCount-1)))) // the latest lines are retained
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	is := is.New(t)
	s := &blockedWriter{unblock: make(chan struct{})}
	close(s.unblock)
	w, flush := saddlelog.New(s)
	for i := range 100 {
		_, err := fmt.Fprintf(w, "%d ", i)
		is.NoErr(err)
	}
	is.NoErr(flush())
	want := ""
	for i := range 100 {
		want += fmt.Sprintf("%d ", i)
	}
	is.Equal(s.out.String(), want)
}
