package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	lossAfter   = 300 * time.Millisecond // from the first start to the loss of the disk
	downFor     = 2 * time.Second        // of the machine that loses its disk
	recoverTime = 12 * time.Second       // recover_s
	judgedFor   = 20 * time.Second       // after it
	firstLimit  = 60 * time.Second       // for the acknowledgement of the first config
)

// playFirstStart starts a site for the first time. With trouble one machine loses its disk during
// the start. The rule is broken if no request is served for judgedFor, beginning recover_s after
// that machine is back.
func playFirstStart(rec *record, target string, trouble bool) (int, error) {
	site, err := newSite(rec, target, memoryMB)
	if err != nil {
		return notRun, err
	}
	defer site.end()
	if err := site.startProcesses(); err != nil {
		return notRun, err
	}
	if trouble {
		lost := site.provider.machines[0]
		time.Sleep(lossAfter)
		site.provider.loseDisk(lost)
		time.Sleep(downFor)
		site.provider.powerOn(lost)
	}
	back := time.Now()
	if err := site.startRunners(); err != nil {
		return notRun, err
	}
	var acked atomic.Bool
	go func() {
		status, answer, err := callWithin(firstLimit, site.provider.machines, http.MethodPut, "/config", plainConfig())
		acked.Store(err == nil && status == http.StatusOK)
		rec.say("the first config: status %d after %.1f s, %s %v", status, time.Since(back).Seconds(), answer, err)
	}()
	time.Sleep(time.Until(back.Add(recoverTime)))
	sent, served := 0, 0
	for n := 0; time.Since(back) < recoverTime+judgedFor; n++ {
		m := site.provider.machines[n%len(site.provider.machines)]
		c := &channel{address: m.front()}
		out := c.send(request{id: fmt.Sprintf("f-%d", n), path: "/rapu33/x", budget: 1500 * time.Millisecond, size: 600})
		c.close()
		sent++
		if out.status == http.StatusOK {
			served++
		}
		rec.printf("filing f-%d to %s: status %d %s %v", n, m.zone, out.status, out.body, out.err)
		time.Sleep(200 * time.Millisecond)
	}
	rec.say("from %.0f s to %.0f s after the last machine was back: %d requests sent, %d served; first config acknowledged: %v",
		recoverTime.Seconds(), (recoverTime + judgedFor).Seconds(), sent, served, acked.Load())
	if served == 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
