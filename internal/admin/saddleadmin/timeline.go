package saddleadmin

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
)

// Query parameters of PathTimeline.
const (
	paramRequest = "request"  // prefix of a request ID
	paramTarget  = "target"   // target ID
	paramSince   = "since_ns" // time of the oldest event to return, in Unix nanoseconds
)

// TimelineQuery returns the query string that selects the events of a filter. The
// workspace is not included, because only the entry that received a request knows its
// workspace: the caller filters by workspace after it has merged the events of all
// processes.
func TimelineQuery(f saddletimeline.Filter) string {
	q := url.Values{}
	if f.Request != "" {
		q.Set(paramRequest, f.Request)
	}
	if f.Target != "" {
		q.Set(paramTarget, f.Target)
	}
	if !f.Since.IsZero() {
		q.Set(paramSince, strconv.FormatInt(f.Since.UnixNano(), 10))
	}
	return q.Encode()
}

func serveTimeline(c echo.Context, timeline *saddletimeline.Ring) error {
	f := saddletimeline.Filter{Request: c.QueryParam(paramRequest), Target: c.QueryParam(paramTarget)}
	if text := c.QueryParam(paramSince); text != "" {
		ns, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return c.String(http.StatusBadRequest, fmt.Sprintf("%s = %q must be Unix nanoseconds\n", paramSince, text))
		}
		f.Since = time.Unix(0, ns)
	}
	return c.JSON(http.StatusOK, f.Select(timeline.Events()))
}
