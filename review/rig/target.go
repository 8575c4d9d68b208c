package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a target has run.
type run struct {
	id, target, group, path, workspace, method string
	body                                       string
	at                                         time.Time
}

// target is a stand-in for a plain service. It reports to control and runs requests.
type target struct {
	id, group, zone, address string
	c                        *cluster
	work                     time.Duration
	fieldsMissing            bool                                                                      // reports without some of the fields that a report has
	engine                   *engine                                                                   // nil for a plain service
	handler                  func(t *target, w http.ResponseWriter, r *http.Request, body []byte) bool // answers a request itself, or returns false

	mu       sync.Mutex
	born     int64
	seq      int
	state    string
	runs     []run
	srv      *http.Server
	cancel   context.CancelFunc
	reporter int // position in the list of control processes
}

// startTarget starts a target on an address of its own.
func (c *cluster) startTarget(id, group, zone string, work time.Duration, options ...func(*target)) (*target, error) {
	t := &target{id: id, group: group, zone: zone, c: c, work: work, state: "ready", reporter: len(c.targets)}
	for _, o := range options {
		o(t)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t.address = lis.Addr().String()
	c.targets = append(c.targets, t)
	t.serve(lis)
	return t, nil
}

func (t *target) serve(lis net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	t.mu.Lock()
	t.born, t.seq, t.cancel = time.Now().UnixMilli(), 0, cancel
	t.srv = &http.Server{Handler: t, ReadHeaderTimeout: 10 * time.Second}
	srv := t.srv
	t.mu.Unlock()
	go func() { _ = srv.Serve(lis) }()
	go t.report(ctx)
}

// stop ends the target without a word.
func (t *target) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel()
	_ = t.srv.Close()
}

// report sends a heartbeat each heartbeatTime.
func (t *target) report(ctx context.Context) {
	for ctx.Err() == nil {
		t.heartbeat()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatTime):
		}
	}
}

// heartbeat sends a heartbeat to one control process after another until one
// acknowledges it within a second. It stays with that process until it fails.
func (t *target) heartbeat() bool {
	controls := t.c.controlAddresses()
	for range controls {
		t.mu.Lock()
		t.seq++
		fields := map[string]any{
			"backend": t.group, "address": t.address, "zone": t.zone, "version": "v1", "slots": 6, "state": t.state,
			"cold_ms": 0, "seq": t.seq, "born": t.born,
		}
		if t.engine != nil {
			t.addEngine(fields)
		}
		if t.fieldsMissing {
			for _, name := range []string{"version", "slots", "cold_ms", "seq"} {
				delete(fields, name)
			}
		}
		body := encodeBody(fields)
		address := controls[t.reporter%len(controls)]
		t.mu.Unlock()
		status, _, err := t.c.call(http.MethodPut, "http://"+address+"/instances/"+t.id, body)
		if t.fieldsMissing {
			t.c.rec.addf("report %s of %s to %s: %s", body, t.id, address, outcome(status, err))
		}
		if err == nil && status == http.StatusOK {
			return true
		}
		t.mu.Lock()
		t.reporter++
		t.mu.Unlock()
	}
	return false
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(header("request"))
	w.Header().Set(header("request"), id)
	w.Header().Set("Content-Type", "application/octet-stream")
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", t.id)
		return
	}
	if expect := r.Header.Get(header("target")); expect != "" && expect != t.id {
		w.Header().Set(header("notrun"), "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id == "" && t.engine == nil {
		w.Header().Set(header("notrun"), "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if t.handler != nil && t.handler(t, w, r, body) {
		return
	}
	t.addRun(r, body)
	time.Sleep(t.work)
	t.answer(w, id)
}

// addRun records that the target begins to work on a request.
func (t *target) addRun(r *http.Request, body []byte) {
	u := run{
		id: r.Header.Get(header("request")), target: t.id, group: t.group, path: r.URL.RequestURI(), method: r.Method,
		workspace: r.Header.Get("Tenant"), body: string(body), at: time.Now(),
	}
	t.mu.Lock()
	t.runs = append(t.runs, u)
	t.mu.Unlock()
	t.c.rec.addf("%s of %s runs %s %s %s", t.id, t.group, u.id, u.method, u.path)
}

func (t *target) answer(w http.ResponseWriter, id string) {
	text := bodyOf(t.id, id)
	w.Header().Set(header("signature"), signature(t.id, id))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text)
}

func bodyOf(target, id string) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%s answers %s. ", target, id)), 20)
}

func signature(target, id string) string { return "mac-" + target + "-" + id }

// allRuns returns what all targets have run.
func (c *cluster) allRuns() []run {
	var out []run
	for _, t := range c.targets {
		t.mu.Lock()
		out = append(out, t.runs...)
		t.mu.Unlock()
	}
	return out
}

var lastID atomic.Int64

// newID returns the id of a caller's attempt.
func newID() string { return fmt.Sprintf("%08x%08x", time.Now().Unix(), lastID.Add(1)) }

// reply is what a caller got.
type reply struct {
	id, path, entry string
	status          int // 0: no complete answer
	signature       string
	body            []byte
	sentAt          time.Time
	err             error
}

// requestBudget is the time that callers wait for an answer of a plain service.
const requestBudget = 1500 * time.Millisecond

// request sends a caller's request over a new connection.
func (c *cluster) request(v *vm, method, path, key string, body []byte) reply {
	id := newID()
	out := reply{id: id, path: path, entry: v.name, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), requestBudget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address(v, c.ports.front)+path, bytes.NewReader(body))
	if err != nil {
		out.err = err
		return out
	}
	req.Host = host
	req.Header.Set(header("request"), id)
	req.Header.Set(header("budget"), strconv.FormatInt(requestBudget.Milliseconds(), 10))
	if key != "" {
		req.Header.Set(header("key"), key)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err == nil {
		out.status, out.signature = resp.StatusCode, resp.Header.Get(header("signature"))
		out.body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	out.err = err
	c.rec.addf("caller sends %s %s %s to %s: %s", id, method, path, v.name, outcome(out.status, err))
	return out
}
