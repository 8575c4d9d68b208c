package saddlefleet_test

import (
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Pattern: an engine is probed while it ends, so that the probe is cut off, and refuses
// connections afterwards.
// Guards against the end of an engine that nobody connects with the request that caused it.
func TestEndOfAnEngineIsReportedThoughTheFirstProbeLeftItOpen(t *testing.T) {
	is := is.New(t)
	var reports []string
	fleet := saddlefleet.New("entry-1", "a", zerolog.Nop(), func(address string, ended bool) { reports = append(reports, fmt.Sprint(address, " ", ended)) })
	view := saddleview.NewBuilder()
	view.Update("control", &saddlewire.Update{Snapshot: true, Registrations: []*saddlewire.Registration{engine("a0", "a", 0, 4)}})
	fleet.Update(start, view.Build())
	now := start
	probe := func(err error) {
		now = now.Add(10 * time.Second)
		fleet.MarkDown(now, "a0", "interrupted")
		for _, target := range fleet.StartDueProbes(now) {
			fleet.RecordProbe(now, target, fireflysaddle.EngineReport{Holdings: []fireflysaddle.Holding{{From: 0, To: 4}}}, err)
		}
	}
	probe(io.ErrUnexpectedEOF)
	probe(syscall.ECONNREFUSED)
	probe(syscall.ECONNREFUSED)
	is.Equal(reports, []string{"a0 false", "a0 true"})
	probe(nil)
	probe(syscall.ECONNREFUSED)
	is.Equal(reports[2:], []string{"a0 true"})
}
