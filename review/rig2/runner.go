package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a runner of a plain service: it runs slots requests at once and queues a few more.
type runner struct {
	rec      *record
	id, zone string
	service  string
	address  string
	work     time.Duration
	slots    chan struct{}
	queue    atomic.Int64
	maxQueue int64
	born     int64
	seq      atomic.Uint64
	srv      *http.Server
	handle   func(w http.ResponseWriter, r *http.Request) // replaces the usual run; optional

	mu   sync.Mutex
	runs map[string]int // by the id of the request
}

func startRunner(rec *record, service, id, ip, zone string, work time.Duration, slots, queue int) (*runner, error) {
	lis, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		rec: rec, id: id, zone: zone, service: service, address: lis.Addr().String(), work: work,
		slots: make(chan struct{}, slots), maxQueue: int64(queue), born: time.Now().UnixMilli(), runs: map[string]int{},
	}
	r.srv = &http.Server{Handler: r}
	go func() { _ = r.srv.Serve(lis) }()
	return r, nil
}

// ServeHTTP runs a request.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Instance-Id", r.id)
	if req.URL.Path == "/health" {
		return
	}
	id := req.Header.Get(wire("request"))
	w.Header().Set(wire("request"), id)
	if expected := req.Header.Get(wire("target")); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if r.queue.Add(1) > r.maxQueue+int64(cap(r.slots)) {
		r.queue.Add(-1)
		w.Header().Set(wire("notrun"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.queue.Add(-1)
	r.slots <- struct{}{}
	defer func() { <-r.slots }()
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.rec.printf("runner %s runs %s: %s %s, %d bytes", r.id, id, req.Method, req.RequestURI, len(body))
	if r.handle != nil {
		r.handle(w, req)
		return
	}
	time.Sleep(r.work)
	w.Header().Set(wire("signature"), r.id+"."+id)
	_, _ = fmt.Fprintf(w, "done %s", id)
}

// ran returns how often a request has run.
func (r *runner) ran(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// beat sends a heartbeat.
func (r *runner) beat(machines []machine, state string) (int, error) {
	status, _, err := call(machines, http.MethodPut, "/instances/"+r.id, map[string]any{
		"backend": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": cap(r.slots),
		"state": state, wire("cold_ms"): 0, "seq": r.seq.Add(1), "born": r.born,
	})
	return status, err
}

// beatAlways sends a heartbeat each 1,200 ms.
func (r *runner) beatAlways(machines []machine, stop <-chan struct{}) {
	for {
		if _, err := r.beat(machines, "ready"); err != nil {
			r.rec.printf("runner %s: heartbeat: %v", r.id, err)
		}
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}
