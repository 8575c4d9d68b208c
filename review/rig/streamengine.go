package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	eventInterval  = 55 * time.Millisecond
	tokensPerEvent = 2
	usualSlowdown  = 3
	splitMemory    = 10000.0 // MB, for five of the layers
	meanEvents     = 86.0
	eventSpread    = 0.89 // standard deviation of the logarithm
	minEvents      = 4
	maxEvents      = 215
	minShortEvents = 27
	maxShortEvents = 40
	minEvenEvents  = 73 // 4 s
	maxEvenEvents  = 109
)

// siteLength draws a number of events whose distribution is that of the site.
func siteLength(rng *rand.Rand) int {
	n := math.Exp(math.Log(meanEvents) - eventSpread*eventSpread/2 + eventSpread*rng.NormFloat64())
	return min(max(minEvents, int(n)), maxEvents)
}

// evenLength draws a number of events of streams of 4 to 6 s.
func evenLength(rng *rand.Rand) int {
	return minEvenEvents + rng.IntN(maxEvenEvents-minEvenEvents+1)
}

// shortLength draws a number of events of streams of 1.5 to 2.2 s, which take 4.5 to 6.6 s at
// a third of the pace.
func shortLength(rng *rand.Rand) int {
	return minShortEvents + rng.IntN(maxShortEvents-minShortEvents+1)
}

// pace is the pace of the engines of a zone.
type pace struct {
	until  atomic.Int64
	factor int // of the time between events, while it is slow
}

// slowUntil has the engines work more slowly until a time.
func (p *pace) slowUntil(t time.Time) { p.until.Store(t.UnixNano()) }

func (p *pace) interval(now time.Time) time.Duration {
	if now.UnixNano() < p.until.Load() {
		return time.Duration(p.factor) * eventInterval
	}
	return eventInterval
}

// workLog holds when engines worked on requests.
type workLog struct {
	mu    sync.Mutex
	first map[string]time.Time // start of the first run, by request
	last  map[string]time.Time // end of the last run
	runs  map[string]int
}

func newWorkLog() *workLog {
	return &workLog{first: map[string]time.Time{}, last: map[string]time.Time{}, runs: map[string]int{}}
}

func (l *workLog) begin(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[id]++; l.runs[id] == 1 {
		l.first[id] = now
	}
}

func (l *workLog) end(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last[id] = now
}

// startEngine starts an engine without layers that writes the streams of the case.
func (s *series) startEngine(id, zone string) error {
	t, err := s.c.startTarget(id, drafts, zone, 0, func(t *target) {
		t.engine = &engine{}
		t.handler = s.serveTarget
	})
	if err != nil {
		return err
	}
	s.c.rec.addf("engine %s at %s", id, t.address)
	return nil
}

func (s *series) serveTarget(t *target, w http.ResponseWriter, r *http.Request, body []byte) bool {
	if r.URL.Path == "/report" || r.URL.Path == "/order" {
		return serveEngine(t, w, r, body)
	}
	if fault := s.missingPart(r.Header.Get(header("path"))); fault != "" {
		w.Header().Set(header("notrun"), "1")
		w.Header().Set(header("fault"), fault)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	s.serveStream(t, w, r, body)
	return true
}

// missingPart returns the address of an engine that does not hold its part of a chain.
func (s *series) missingPart(path string) string {
	if path == "" {
		return ""
	}
	for part := range strings.SplitSeq(path, ",") {
		address, layers, _ := strings.Cut(strings.TrimSpace(part), "=")
		from, to, _ := strings.Cut(layers, "-")
		first, firstErr := strconv.Atoi(from)
		last, lastErr := strconv.Atoi(to)
		if firstErr != nil || lastErr != nil || !s.holds(address, first, last) {
			return address
		}
	}
	return ""
}

func (s *series) holds(address string, from, to int) bool {
	for _, t := range s.c.targets {
		if t.address == address {
			t.mu.Lock()
			defer t.mu.Unlock()
			return t.engine.from <= from && to <= t.engine.to
		}
	}
	return false
}

// serveStream writes the events of a stream, from the one after the last that the caller has.
// The body states how many there are.
func (s *series) serveStream(t *target, w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get(header("request"))
	last, _ := strconv.Atoi(r.Header.Get(header("lastevent"))) // 0 without the header
	events, err := strconv.Atoi(string(body))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.work.begin(id, time.Now())
	defer func() { s.work.end(id, time.Now()) }()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(header("signature"), signature("model", id))
	w.Header().Set(header("weights"), "1")
	out := http.NewResponseController(w)
	for n := last + 1; n <= events; n++ {
		select {
		case <-r.Context().Done():
			t.c.rec.addf("%s: the channel of %s is closed before event %d of %d", t.id, id, n, events)
			return
		case <-time.After(s.paces[t.zone].interval(time.Now())):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
			return
		}
		_ = out.Flush()
	}
}
