package saddlectl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/admin/saddleadmin"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	adminRequestTimeout  = 2 * time.Second // bounds the request to one process
	maxConcurrentFetches = 16              // processes queried concurrently
	maxTimelineBytes     = 256 << 20       // largest response accepted from one process
)

// timelineView is the output of the timeline command.
type timelineView struct {
	Events      []saddletimeline.Event `json:"events"`
	Unreachable []string               `json:"unreachable,omitempty"` // members with the error, and control replicas that do not report
}

func runTimeline(ctx context.Context, s *session, _ []string) error {
	key, err := s.adminKey()
	if err != nil {
		return err
	}
	if s.since > 0 {
		s.filter.Since = time.Now().Add(-s.since)
	}
	state, err := s.read(ctx)
	if err != nil {
		return err
	}
	view := s.fetchTimelines(ctx, state.GetMembers(), key)
	view.Unreachable = append(view.Unreachable, replicasNotReporting(state)...)
	view.Events = s.filter.Select(view.Events)
	return s.print(view, view.write)
}

func (s *session) adminKey() (string, error) {
	if s.adminKeyFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(s.adminKeyFile)
	if err != nil {
		return "", &usageError{reason: err.Error()}
	}
	return strings.TrimSpace(string(text)), nil
}

// fetchTimelines returns the events of all members. It lists a member whose events could not
// be fetched as unreachable, with the error.
func (s *session) fetchTimelines(ctx context.Context, members []*saddlewire.Member, key string) timelineView {
	client := &http.Client{Timeout: adminRequestTimeout}
	query := saddleadmin.TimelineQuery(s.filter)
	defer client.CloseIdleConnections()
	eventsByMember := make([][]saddletimeline.Event, len(members))
	errs := make([]error, len(members))
	semaphore := make(chan struct{}, maxConcurrentFetches)
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			eventsByMember[i], errs[i] = fetchTimeline(ctx, client, m.GetAdmin(), query, key)
		})
	}
	wg.Wait()
	view := timelineView{Events: []saddletimeline.Event{}}
	for i, m := range members {
		if errs[i] != nil {
			view.Unreachable = append(view.Unreachable, fmt.Sprintf("%s: %v", m.GetNode(), errs[i]))
			continue
		}
		view.Events = append(view.Events, eventsByMember[i]...)
	}
	return view
}

func fetchTimeline(ctx context.Context, client *http.Client, admin, query, key string) ([]saddletimeline.Event, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+saddleadmin.PathTimeline+"?"+query, nil)
	if err != nil {
		return nil, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	var events []saddletimeline.Event
	return events, json.NewDecoder(io.LimitReader(resp.Body, maxTimelineBytes)).Decode(&events)
}

func (v timelineView) write(w io.Writer) {
	for _, e := range v.Events {
		_, _ = fmt.Fprintln(w, formatEvent(e))
	}
	for _, node := range v.Unreachable {
		_, _ = fmt.Fprintf(w, "could not reach %s\n", node)
	}
}

func formatEvent(e saddletimeline.Event) string {
	at := time.Unix(0, e.WallNs).UTC().Format("15:04:05.000000")
	line := fmt.Sprintf("%s %-16s %s", at, e.Node, e.Name)
	for _, field := range []struct{ name, value string }{
		{"request", e.Request}, {"target", e.Target}, {"subject", e.Subject}, {"detail", e.Detail},
	} {
		if field.value != "" {
			line += fmt.Sprintf(" %s=%s", field.name, field.value)
		}
	}
	for _, field := range []struct {
		name  string
		value uint64
	}{{"attempt", uint64(e.Attempt)}, {"revision", e.Revision}, {"term", e.Term}} {
		if field.value > 0 {
			line += fmt.Sprintf(" %s=%d", field.name, field.value)
		}
	}
	return line
}
