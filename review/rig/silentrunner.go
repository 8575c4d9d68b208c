package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// runnerPause is shorter than the gap after which callers abandon a draft, 2 s.
	runnerPause   = 1700 * time.Millisecond
	draftsPerKind = 3
	// draftInterval is long enough for pauseAfter events.
	draftInterval = 400 * time.Millisecond
)

// silentRunner checks that drafts in progress at SIGTERM are completed although engines
// preempt the newest request once and read it again.
func silentRunner(c *cluster, trouble bool) error {
	pause := time.Duration(0)
	if trouble {
		pause = runnerPause
	}
	for i, zone := range zones {
		if err := c.startEngine(fmt.Sprintf("i-engine-%d", i), drafts, zone, pause); err != nil {
			return err
		}
	}
	first := newTable(1, desk)
	first.addModel()
	if _, err := c.submit(1, first.encode()); err != nil {
		return err
	}
	if err := c.awaitReady(30 * time.Second); err != nil {
		return err
	}
	time.Sleep(contactTime + configApplyTime + 2*time.Second)
	v := c.vms[0]
	var mu sync.Mutex
	var wg sync.WaitGroup
	var got []draft
	for n := range 2 * draftsPerKind {
		path := []string{draftPath, oncePath}[n%2]
		wg.Go(func() {
			time.Sleep(time.Duration(n) * draftInterval)
			d := c.requestDraft(v, path+fmt.Sprint(n))
			mu.Lock()
			defer mu.Unlock()
			got = append(got, d)
		})
	}
	time.Sleep(time.Second)
	c.rec.addf("SIGTERM to %s", v.name)
	for _, p := range v.processes() {
		p.signal(syscall.SIGTERM)
	}
	wg.Wait()
	return c.checkDrafts(got)
}

// checkDrafts checks that drafts that were passed on ended with a complete answer.
func (c *cluster) checkDrafts(got []draft) error {
	passedOn := map[string]int{}
	for _, u := range c.allRuns() {
		passedOn[u.id]++
	}
	cut := map[string]int{}
	total := map[string]int{}
	for _, d := range got {
		prefix := d.path[:len(draftPath)-1]
		if passedOn[d.id] == 0 {
			continue
		}
		total[prefix]++
		if !d.complete && (d.status == 0 || d.status == http.StatusOK) {
			cut[prefix]++
		}
	}
	c.rec.addf("drafts passed on: %v, ended without a complete answer: %v", total, cut)
	if len(got) == 0 || len(total) == 0 {
		return fmt.Errorf("no draft was passed on")
	}
	if len(cut) > 0 {
		return brokenf("LOST: of the drafts passed on around SIGTERM, by kind of route %v, these ended without a complete answer: %v", total, cut)
	}
	return nil
}
