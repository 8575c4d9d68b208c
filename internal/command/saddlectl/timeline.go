package saddlectl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/admin/saddleadmin"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
)

const adminTimeout = 2 * time.Second // for one process to hand out its time line

// timelineView is what the command shows.
type timelineView struct {
	Events      []saddletimeline.Event `json:"events"`
	Unreachable []string               `json:"unreachable,omitempty"`
}

func runTimeline(ctx context.Context, s *session, _ []string) error {
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: adminTimeout}
	defer client.CloseIdleConnections()
	var view timelineView
	for _, m := range state.GetMembers() {
		events, err := fetchTimeline(ctx, client, m.GetAdmin())
		if err != nil {
			view.Unreachable = append(view.Unreachable, m.GetNode())
			continue
		}
		view.Events = append(view.Events, s.filter(events)...)
	}
	slices.SortFunc(view.Events, func(a, b saddletimeline.Event) int {
		if a.Less(b) {
			return -1
		}
		return 1
	})
	return s.print(view, func(w io.Writer) {
		for _, e := range view.Events {
			_, _ = fmt.Fprintln(w, formatEvent(e))
		}
		for _, node := range view.Unreachable {
			_, _ = fmt.Fprintf(w, "could not reach %s\n", node)
		}
	})
}

func (s *session) filter(events []saddletimeline.Event) []saddletimeline.Event {
	return slices.DeleteFunc(events, func(e saddletimeline.Event) bool {
		return !strings.HasPrefix(e.Request, s.request) || (s.target != "" && e.Target != s.target)
	})
}

func fetchTimeline(ctx context.Context, client *http.Client, admin string) ([]saddletimeline.Event, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+saddleadmin.PathTimeline, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var events []saddletimeline.Event
	return events, json.NewDecoder(resp.Body).Decode(&events)
}

func formatEvent(e saddletimeline.Event) string {
	at := time.Unix(0, e.WallNs).UTC().Format("15:04:05.000000")
	line := fmt.Sprintf("%s %-16s %s", at, e.Node, e.Name)
	for _, part := range []struct{ name, value string }{
		{"request", e.Request}, {"target", e.Target}, {"subject", e.Subject}, {"detail", e.Detail},
	} {
		if part.value != "" {
			line += fmt.Sprintf(" %s=%s", part.name, part.value)
		}
	}
	for _, part := range []struct {
		name  string
		value uint64
	}{{"attempt", uint64(e.Attempt)}, {"revision", e.Revision}, {"term", e.Term}} {
		if part.value > 0 {
			line += fmt.Sprintf(" %s=%d", part.name, part.value)
		}
	}
	return line
}
