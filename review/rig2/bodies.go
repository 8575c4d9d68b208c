package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	maxBodyBytes   = 4 << 20     // max_body_bytes of the config
	memoryMB       = 284         // of each process of a front machine
	burstUploads   = 45          // requesters that come at once to a machine
	rounds         = 3           // bursts
	linkBytesPerS  = 100_000_000 // of a machine's link, which carries 125 MB a second
	endsAllowed    = 2           // ends of processes of a machine by themselves, of the rule Fault
	machinesFaulty = 2           // machines with more ends that break the rule
)

// filings counts what became of the filings that requesters sent on kept channels.
type filings struct {
	mu                                sync.Mutex
	answered, refused, lost, unserved int
}

// add counts an outcome. kept tells whether the channel was open before the request.
func (f *filings) add(site *smallSite, id string, kept bool, out outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case out.status == http.StatusOK:
		f.answered++
	case out.status != 0:
		f.refused++
		site.rec.printf("filing %s answered %d", id, out.status)
	case kept && site.ran(id) > 0:
		f.lost++
		site.rec.say("filing %s ran; its kept channel was closed without an answer: %v", id, out.err)
	default:
		f.unserved++
		site.rec.printf("filing %s: %v", id, out.err)
	}
}

// sendFilings sends short filings to a machine on a kept channel until the context ends.
func (f *filings) sendFilings(ctx context.Context, site *smallSite, m machine, k int) {
	c := &channel{address: m.front()}
	defer c.close()
	time.Sleep(time.Duration(k) * 60 * time.Millisecond)
	every(ctx, 250*time.Millisecond, func(n int) {
		kept := c.conn != nil
		r := request{id: fmt.Sprintf("f-%s-%d-%d", m.zone, k, n), path: "/rapu33/x", budget: 1500 * time.Millisecond, size: 600}
		f.add(site, r.id, kept, c.send(r))
	})
}

// playBodies lets requesters send long bodies, with trouble many at once, while others send short
// filings on kept channels. The rule is broken if processes of two machines end three times each.
func playBodies(rec *record, target string, trouble bool) (int, error) {
	site, err := startSite(rec, target, memoryMB, plainConfig())
	defer site.end()
	if err != nil {
		return notRun, err
	}
	stopWatch, peaks := make(chan struct{}), make(chan map[string]int, 1)
	go func() { peaks <- site.provider.watchMemory(stopWatch) }()
	ctx, stop := context.WithCancel(context.Background())
	var f filings
	var wg sync.WaitGroup
	for _, m := range site.provider.machines {
		for k := range 4 {
			wg.Go(func() { f.sendFilings(ctx, site, m, k) })
		}
	}
	time.Sleep(2 * time.Second)
	for round := range rounds {
		var uploads sync.WaitGroup
		for _, m := range site.provider.machines {
			uploads.Go(func() { sendUploads(rec, m, round, trouble) })
		}
		uploads.Wait()
		time.Sleep(6 * time.Second)
	}
	stop()
	wg.Wait()
	close(stopWatch)
	faulty := 0
	for name, mb := range <-peaks {
		ends := site.provider.endsOf(name)
		rec.say("process %s: %d MB of %d MB at its peak, ended %d times by itself", name, mb, memoryMB, ends)
		if ends > endsAllowed {
			faulty++
		}
	}
	rec.say("filings: %d answered with success, %d with a failure, %d ran and got no answer, %d without a channel", f.answered, f.refused, f.lost, f.unserved)
	if faulty >= machinesFaulty {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// sendUploads sends requests with long bodies to a machine, with trouble all at once.
func sendUploads(rec *record, m machine, round int, trouble bool) {
	send := func(k, perS int) {
		c := &channel{address: m.front()}
		defer c.close()
		id := fmt.Sprintf("u-%s-%d-%d", m.zone, round, k)
		rec.printf("upload %s: %d bytes", id, maxBodyBytes)
		out := c.send(request{id: id, path: "/lohu930/x", budget: 20 * time.Second, size: maxBodyBytes, perS: perS})
		rec.printf("upload %s answered %d %v", id, out.status, out.err)
	}
	if !trouble {
		for k := range burstUploads {
			send(k, linkBytesPerS)
		}
		return
	}
	var wg sync.WaitGroup
	for k := range burstUploads {
		wg.Go(func() { send(k, linkBytesPerS/burstUploads) })
	}
	wg.Wait()
}
