package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	recoverTime   = 12 * time.Second
	lossAfterStop = time.Second // between SIGTERM of the replaced machine and the loss of a disk
	diskLossTime  = 700 * time.Millisecond
)

// plannedReplacement replaces a machine of the core, the new one first, and then lets
// another machine lose its disk. The deployment bears one loss.
func plannedReplacement(c *cluster, trouble bool) error {
	if err := c.prepare(); err != nil {
		return err
	}
	if _, err := c.submit(2, newTable(2, annex).encode()); err != nil {
		return err
	}
	old, other := c.vms[2], c.vms[0]
	added, err := c.addVM("front-midrand-c-2", zones[2])
	if err != nil {
		return err
	}
	c.rec.addf("%s is added", added.name)
	time.Sleep(catchUpTime + 500*time.Millisecond)
	c.rec.addf("%s has had %v; SIGTERM to %s, which is replaced", added.name, catchUpTime, old.name)
	c.removeVM(old)
	if trouble {
		time.Sleep(lossAfterStop)
		c.rec.addf("%s loses its disk", other.name)
		if err := c.loseDisk(other, diskLossTime); err != nil {
			return err
		}
		c.rec.addf("%s is back with an empty disk", other.name)
	}
	time.Sleep(graceTime + recoverTime)
	return c.checkRecovered()
}

// checkRecovered checks that the acknowledged version 2 can be read, and that requests
// are served.
func (c *cluster) checkRecovered() error {
	reads, requests, served, read := 0, 0, 0, 0
	every(250*time.Millisecond, contactTime+7*time.Second, func(n int) {
		v := c.vms[n%len(c.vms)]
		status, answer, err := c.call(http.MethodGet, "http://"+c.address(v, c.ports.control)+"/config", nil)
		c.rec.addf("operator reads the configuration at %s: %s, %d bytes", v.name, outcome(status, err), len(answer))
		reads++
		if err == nil && status == http.StatusOK && answer == string(newTable(2, annex).encode()) {
			read++
		}
		r := c.request(v, http.MethodGet, lookPath+fmt.Sprint(n), callerKey, nil)
		requests++
		if r.err == nil && r.status == http.StatusOK {
			served++
		}
	})
	c.rec.addf("%d of %d reads returned the acknowledged version 2, %d of %d requests were served", read, reads, served, requests)
	if read == 0 {
		return brokenf("CONFIG: the acknowledged version 2 did not come in %d reads, sent over %v after all machines were back; %d of %d requests were served", reads, recoverTime, served, requests)
	}
	if served < requests/4 {
		return brokenf("RECOVER: %d of %d requests were served", served, requests)
	}
	return nil
}
