package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// smallSite is a site with three machines, each with control and a gateway, and with three runners
// of a plain service.
type smallSite struct {
	rec      *record
	provider *provider
	runners  []*runner
	stop     chan struct{}
	dir      string
}

// newSite returns a site none of whose processes runs.
func newSite(rec *record, target string, memoryMB int) (*smallSite, error) {
	machines := []machine{
		{ip: "127.0.0.11", zone: "joburg-a", control: true},
		{ip: "127.0.0.12", zone: "pretoria-b", control: true},
		{ip: "127.0.0.13", zone: "midrand-c", control: true},
	}
	if err := choosePorts(machines); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	return &smallSite{rec: rec, stop: make(chan struct{}), dir: dir, provider: newProvider(rec, machines, dir, target, memoryMB)}, nil
}

// startProcesses starts all machines.
func (s *smallSite) startProcesses() error {
	for _, m := range s.provider.machines {
		for _, role := range []string{"control", "gateway"} {
			if err := s.provider.start(m, role); err != nil {
				return err
			}
		}
	}
	return nil
}

// startRunners starts a runner in each zone, which sends heartbeats.
func (s *smallSite) startRunners() error {
	for i, m := range s.provider.machines {
		r, err := startRunner(s.rec, "xano55b", fmt.Sprintf("i-%d", i+1), m.ip, m.zone, 60*time.Millisecond, 6, 24)
		if err != nil {
			return err
		}
		s.runners = append(s.runners, r)
		go r.beatAlways(s.provider.machines, s.stop)
	}
	return nil
}

// startSite starts a site and waits until it serves.
func startSite(rec *record, target string, memoryMB int, config any) (*smallSite, error) {
	s, err := newSite(rec, target, memoryMB)
	if err != nil {
		return nil, err
	}
	if err := s.startProcesses(); err != nil {
		return s, err
	}
	status, answer, err := call(s.provider.machines, http.MethodPut, "/config", config)
	if err != nil || status != http.StatusOK {
		return s, fmt.Errorf("config not acknowledged: %d %s %w", status, answer, err)
	}
	if err := s.startRunners(); err != nil {
		return s, err
	}
	if err := s.provider.awaitReady(25 * time.Second); err != nil {
		return s, err
	}
	time.Sleep(4 * time.Second) // contact_ms and more
	return s, nil
}

func (s *smallSite) end() {
	if s == nil {
		return
	}
	close(s.stop)
	s.provider.stop()
	for _, r := range s.runners {
		_ = r.srv.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

func (s *smallSite) ran(id string) int {
	n := 0
	for _, r := range s.runners {
		n += r.ran(id)
	}
	return n
}

// plainConfig is a config with a route for filings and one for filings with long bodies.
func plainConfig() any {
	type m = map[string]any
	route := func(name, prefix string, timeoutMs int) m {
		return m{
			"name": name, "hostname": "ficu95.example", wire("prefix"): prefix, "kind": "non_idempotent", "timeout_ms": timeoutMs,
			wire("objective_ms"): 300, "priority": 2, "backend": "xano55b", "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
		}
	}
	return m{
		"version":  1,
		"routes":   []m{route("r-1", "/rapu33/", 800), route("r-2", "/lohu930/", 20000)},
		"backends": []m{{"name": "xano55b", "health_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false}},
		"limits":   m{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []m{{"name": "hule930", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}},
	}
}
