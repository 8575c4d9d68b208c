package main

import (
	"fmt"
	"net/http"
	"time"
)

// foreignRunner checks that no filing runs at a server that only a status report with
// missing fields names. The server is a sound runner of another installation.
func foreignRunner(c *cluster, trouble bool) error {
	if err := c.prepare(); err != nil {
		return err
	}
	const foreign = "i-foreign"
	if trouble {
		_, err := c.startTarget(foreign, desk, zones[0], 20*time.Millisecond, func(t *target) { t.fieldsMissing = true })
		if err != nil {
			return err
		}
	}
	time.Sleep(contactTime)
	const filings = 120
	sent := map[string]bool{}
	every(100*time.Millisecond, filings*100*time.Millisecond, func(n int) {
		r := c.request(c.vms[n%len(c.vms)], http.MethodPost, filePath+fmt.Sprint(n), callerKey, []byte("claim"))
		sent[r.id] = true
	})
	ran := 0
	for _, u := range c.allRuns() {
		if u.target == foreign && sent[u.id] {
			ran++
		}
	}
	c.rec.addf("%d of %d filings ran at the foreign server", ran, len(sent))
	if ran > 0 {
		return brokenf("ROUTE: %d of %d filings were run by a server that only reports with missing fields name", ran, len(sent))
	}
	return nil
}
