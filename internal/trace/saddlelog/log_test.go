package saddlelog_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddlelog"
)

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	free chan struct{}

	mu  sync.Mutex
	out bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// Whoever logs never waits for the output, and what is left out is said.
func TestAStuckOutputHoldsNobodyUp(t *testing.T) {
	is := is.New(t)
	s := &stuck{free: make(chan struct{})}
	w, flush := saddlelog.New(s)
	const lines = 20_000
	for i := range lines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		is.NoErr(err)
	}
	close(s.free)
	is.NoErr(flush())
	s.mu.Lock()
	defer s.mu.Unlock()
	is.True(bytes.Contains(s.out.Bytes(), []byte("log lines left out")))
	is.True(bytes.Contains(s.out.Bytes(), []byte(fmt.Sprintf("line %d\n", lines-1)))) // the latest are kept
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	is := is.New(t)
	s := &stuck{free: make(chan struct{})}
	close(s.free)
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
