package saddleview_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// A node that has just started becomes ready when a replica confirms the highest
// revision that the node knows. Without a majority no replica does. The node then
// becomes ready with that revision after a bounded wait.
func TestNodeIsReadyAfterConfirmationOrBoundedWait(t *testing.T) {
	behind := &saddlewire.Update{Snapshot: true, Revision: 3}
	current := &saddlewire.Update{Snapshot: true, Revision: 9, Confirmed: true}
	for name, c := range map[string]struct {
		build func(b *saddleview.Builder)
		ready bool
	}{
		"nothing received":                   {func(*saddleview.Builder) {}, false},
		"not confirmed":                      {func(b *saddleview.Builder) { b.Update("a", behind) }, false},
		"confirmed":                          {func(b *saddleview.Builder) { b.Update("a", behind); b.Update("b", current) }, true},
		"confirmed without any revision":     {func(b *saddleview.Builder) { b.Update("a", &saddlewire.Update{Snapshot: true, Confirmed: true}) }, true},
		"unconfirmed allowed":                {func(b *saddleview.Builder) { b.Update("a", behind); b.AllowUnconfirmed() }, true},
		"unconfirmed allowed, nothing known": {func(b *saddleview.Builder) { b.Update("a", &saddlewire.Update{Snapshot: true}); b.AllowUnconfirmed() }, false},
		"confirmed, then disconnected": {func(b *saddleview.Builder) {
			b.Update("b", current)
			b.Build()
			b.MarkDisconnected("b")
		}, true},
		"only an old revision confirmed": {func(b *saddleview.Builder) {
			b.Update("a", &saddlewire.Update{Snapshot: true, Revision: 3, Confirmed: true})
			b.Update("b", &saddlewire.Update{Snapshot: true, Revision: 9})
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := saddleview.NewBuilder()
			c.build(b)
			is.New(t).Equal(b.Build().Ready, c.ready)
		})
	}
}
