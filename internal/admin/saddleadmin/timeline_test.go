package saddleadmin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/admin/saddleadmin"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
)

func TestTimelineIsFilteredByServer(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_700_000_000, 0)
	ring := saddletimeline.NewRing("agent-1", 8)
	ring.Add(start, saddletimeline.Event{Name: "old", Request: "r1", Target: "mastori-1"})
	ring.Add(start.Add(time.Minute), saddletimeline.Event{Name: "new", Request: "r1", Target: "mastori-1"})
	ring.Add(start.Add(time.Minute), saddletimeline.Event{Name: "other", Request: "r2", Target: "mastori-2"})
	address, err := saddlestandin.FreeAddress()
	is.NoErr(err)
	s, cleanup, err := saddleadmin.New(address, nil, func() error { return nil }, ring)
	is.NoErr(err)
	defer func() { is.NoErr(cleanup()) }()
	go func() { _ = s.Run(context.Background()) }()

	get := func(query string) (status int, names []string) {
		resp, err := http.Get("http://" + address + saddleadmin.PathTimeline + "?" + query)
		is.NoErr(err)
		defer func() { _ = resp.Body.Close() }()
		var events []saddletimeline.Event
		if resp.StatusCode == http.StatusOK {
			is.NoErr(json.NewDecoder(resp.Body).Decode(&events))
		}
		for _, e := range events {
			names = append(names, e.Name)
		}
		return resp.StatusCode, names
	}
	_, names := get(saddleadmin.TimelineQuery(saddletimeline.Filter{}))
	is.Equal(len(names), 3)
	_, names = get(saddleadmin.TimelineQuery(saddletimeline.Filter{Request: "r1", Since: start.Add(time.Second)}))
	is.Equal(names, []string{"new"})
	_, names = get(saddleadmin.TimelineQuery(saddletimeline.Filter{Target: "mastori-2"}))
	is.Equal(names, []string{"other"})
	status, _ := get("since_ns=yesterday")
	is.Equal(status, http.StatusBadRequest)
}
