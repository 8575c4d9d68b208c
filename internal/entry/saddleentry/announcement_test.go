package saddleentry_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
)

func TestAnnouncementToEntryIsRefusedWithHint(t *testing.T) {
	runWithCluster(t, fireflysaddle.KindService, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		out := w.do(t.Context(), "entry-1", "POST", "/v1/announce", "", `{"id":"desk-1"}`, nil)
		is.True(strings.Contains(out.body, "announce to the target's local agent"))
	})
}
