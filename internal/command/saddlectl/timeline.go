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
	adminTimeout = 2 * time.Second // for one process to hand out its time line
	fetchers     = 16              // processes asked at the same time
	maxTimeline  = 256 << 20       // bytes taken from one process
)

// timelineView is what the command shows.
type timelineView struct {
	Events      []saddletimeline.Event `json:"events"`
	Unreachable []string               `json:"unreachable,omitempty"`
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
	view := s.gather(ctx, state.GetMembers(), key)
	view.Unreachable = append(view.Unreachable, notHeard(state)...)
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

// gather asks every member for its events.
func (s *session) gather(ctx context.Context, members []*saddlewire.Member, key string) timelineView {
	client := &http.Client{Timeout: adminTimeout}
	query := saddleadmin.TimelineQuery(s.filter)
	defer client.CloseIdleConnections()
	all := make([][]saddletimeline.Event, len(members))
	errs := make([]error, len(members))
	slots := make(chan struct{}, fetchers)
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			all[i], errs[i] = fetchTimeline(ctx, client, m.GetAdmin(), query, key)
		})
	}
	wg.Wait()
	view := timelineView{Events: []saddletimeline.Event{}}
	for i, m := range members {
		if errs[i] != nil {
			view.Unreachable = append(view.Unreachable, fmt.Sprintf("%s: %v", m.GetNode(), errs[i]))
			continue
		}
		view.Events = append(view.Events, all[i]...)
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
	return events, json.NewDecoder(io.LimitReader(resp.Body, maxTimeline)).Decode(&events)
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
