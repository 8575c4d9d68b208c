package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Model of the engines. Each engine can hold all layers.
const (
	drafts       = "drafting-models"
	draftPath    = "/draft/" // may be resumed, two attempts
	oncePath     = "/once/"  // may not be resumed
	engineKind   = "h100"
	modelLayers  = 8
	draftEvents  = 40
	draftSpacing = 60 * time.Millisecond
	draftBudget  = 20 * time.Second
)

// engine is what a target needs to be an engine.
type engine struct {
	from, to int // layers held
	orders   int
	pause    time.Duration // of a request that is preempted; 0: none is
	newest   string        // the request that began last
}

// pauseAfter is the number of events after which the memory runs out. A request that is the
// newest one of its engine then is preempted and read again.
const pauseAfter = 5

// startEngine starts an engine without layers.
func (c *cluster) startEngine(id, group, zone string, pause time.Duration) error {
	t, err := c.startTarget(id, group, zone, 0, func(t *target) {
		t.engine = &engine{pause: pause}
		t.handler = serveEngine
	})
	if err != nil {
		return err
	}
	c.rec.addf("engine %s at %s", id, t.address)
	return nil
}

// addEngine adds an engine to a heartbeat or report.
func (t *target) addEngine(body map[string]any) {
	body["stage"] = "unified"
	body["kind"] = engineKind
	body["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	body["layers"] = map[string]int{"from": t.engine.from, "target": t.engine.to, "version": 1}
}

// serveEngine answers reports, orders and drafts.
func serveEngine(t *target, w http.ResponseWriter, r *http.Request, body []byte) bool {
	switch r.URL.Path {
	case "/report":
		t.serveReport(w)
	case "/order":
		t.serveOrder(w, body)
	default:
		t.serveDraft(w, r, body)
	}
	return true
}

func (t *target) serveReport(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]any{
		"busy": false, "seq": t.engine.orders, "queued": 0, "running": 1, "kv_used": 0, "kv_total": 800000, "handles": 0, "pace": 1, "stalled": []any{},
	}
	t.addEngine(out)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func (t *target) serveOrder(w http.ResponseWriter, body []byte) {
	var in struct {
		Op     string `json:"op"`
		From   int    `json:"from"`
		Target int    `json:"target"`
	}
	var numbers map[string]any
	_ = json.Unmarshal(body, &numbers) // checked with the next one
	expected, stated := numbers[wireNames["orders_expected"]].(float64)
	status := http.StatusAccepted
	t.mu.Lock()
	defer t.mu.Unlock()
	switch err := json.Unmarshal(body, &in); {
	case err != nil || (in.Op != "place" && in.Op != "repath"):
		status = http.StatusBadRequest
	case in.Op == "repath":
		status = http.StatusNotFound
	case stated && int(expected) != t.engine.orders:
		status = http.StatusConflict
	default:
		t.engine.orders++
		t.engine.from, t.engine.to = in.From, in.Target
	}
	t.c.rec.addf("%s gets order %s: status %d", t.id, body, status)
	w.WriteHeader(status)
}

// serveDraft writes the events of a draft, from the one after the last that the caller has.
func (t *target) serveDraft(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get(header("request"))
	last, _ := strconv.Atoi(r.Header.Get(header("lastevent"))) // 0 without the header
	t.addRun(r, body)
	t.mu.Lock()
	t.engine.newest = id
	t.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(header("signature"), signature("model", id))
	w.Header().Set(header("weights"), "1")
	out := http.NewResponseController(w)
	for n := last + 1; n <= draftEvents; n++ {
		wait := draftSpacing
		if n == last+1+pauseAfter && t.isNewest(id) && t.engine.pause > 0 {
			t.c.rec.addf("%s preempts %s for %v before event %d", t.id, id, t.engine.pause, n)
			wait += t.engine.pause
		}
		select {
		case <-r.Context().Done():
			t.c.rec.addf("%s: the channel of %s is closed before event %d", t.id, id, n)
			return
		case <-time.After(wait):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		_ = out.Flush()
	}
	t.c.rec.addf("%s has written all events of %s", t.id, id)
}

func (t *target) isNewest(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine.newest == id
}

// addModel adds the engines and their routes to a configuration.
func (t *table) addModel() {
	t.Backends = append(t.Backends, backend{Name: drafts, HealthPath: "/health", MaxConnections: 998, Protocol: "h1", Engine: map[string]any{
		"slots": 192, "capacity_tokens": 100000, "kv_token_bytes": 4000, "link_mbps": 480000.0, "stride": 2,
		"models":  []any{map[string]any{"name": "m", "pace": 1.0, "load_s": 1.0, "warm_s": 0.1}},
		"step_ms": 0.85, "per_seq_ms": 0.00382, "context_per_k": 0.00512, "read_per_s": 196000.0, "chunk": 512, "report_lag_ms": 200.0,
		"loads_at_once": 6, "usual": map[string]any{"prompt": 772, "answer": 172}, "layers": modelLayers, "layer_mb": 1750.0,
		"activation_bytes": 29500, "pipe_mbps": 9000.0,
		"kinds": []any{map[string]any{"name": engineKind, "mb": 72000.0, "pace": 1.4, "read_factor": 1.0}},
	}})
	add := func(path string, attempts int, resumable bool) {
		t.Routes = append(t.Routes, route{
			Name: "r" + path, Hostname: host, PathPrefix: path, Kind: "streaming", TimeoutMs: int(draftBudget.Milliseconds()), TargetLatencyMs: 500,
			Priority: 1, Backend: drafts, MaxAttempts: attempts, Sticky: true, Resumable: resumable, GapTargetMs: 200,
		})
	}
	add(draftPath, 2, true)
	add(oncePath, 1, false)
}

// draft is what a caller got of a draft.
type draft struct {
	reply
	events   int  // complete events, in order
	complete bool // the answer ended as HTTP says, after the last event
}

// requestDraft sends a caller's request for a draft and reads the events.
func (c *cluster) requestDraft(v *vm, path string) draft {
	out := draft{reply: reply{id: newID(), path: path, entry: v.name, sentAt: time.Now()}}
	ctx, cancel := context.WithTimeout(context.Background(), draftBudget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address(v, c.ports.front)+path, strings.NewReader("prompt"))
	if err != nil {
		out.err = err
		return out
	}
	req.Host = host
	for name, value := range map[string]string{
		header("request"): out.id, "Model": "m", header("tokens"): "760,80", header("prompt"): "5c1e07a2:700,e4402b7d:60",
		header("budget"): strconv.FormatInt(draftBudget.Milliseconds(), 10), header("key"): callerKey,
	} {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		out.err = err
		c.rec.addf("caller sends %s %s to %s: %v", out.id, path, v.name, err)
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if lines.Text() == fmt.Sprintf("id: %d", out.events+1) {
			out.events++
		}
	}
	out.err = lines.Err()
	out.complete = out.err == nil && out.status == http.StatusOK && out.events == draftEvents
	c.rec.addf("caller sends %s %s to %s: %s, %d of %d events, complete: %v, after %v", out.id, path, v.name, outcome(out.status, out.err), out.events, draftEvents, out.complete, time.Since(out.sentAt).Round(time.Millisecond))
	return out
}
