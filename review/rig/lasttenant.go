package main

import (
	"fmt"
	"net/http"
	"time"
)

// neverHeldKey is in no configuration.
const neverHeldKey = "q0never0held0by0any0"

// lastTenant takes the keys of all tenants away, by a configuration whose list of tenants is
// empty, and checks that no request with such a key runs later than the bound. Without the
// trouble, another tenant remains.
func lastTenant(c *cluster, trouble bool) error {
	if err := c.prepare(); err != nil {
		return err
	}
	if n := c.runsWithKeys(4, neverHeldKey); n > 0 {
		return fmt.Errorf("%d requests with an unknown key ran under version 1", n)
	}
	second := newTable(2, desk)
	second.Tenants = []tenant{}
	if !trouble {
		second.Tenants = []tenant{{Name: "pretoria", APIKeys: []string{"r1another0tenant0key"}, Priority: 1}}
	}
	c.rec.addf("version 2 has %d tenants", len(second.Tenants))
	acked, err := c.submit(2, second.encode())
	if err != nil {
		return err
	}
	time.Sleep(time.Until(acked.Add(revokeTime + 500*time.Millisecond)))
	const perKey = 30
	revoked := c.runsWithKeys(perKey, callerKey)
	unknown := c.runsWithKeys(perKey, neverHeldKey)
	c.rec.addf("later than %v after the acknowledgement of version 2: %d of %d requests with the key taken away ran, %d of %d with a key that no configuration held", revokeTime, revoked, perKey, unknown, perKey)
	if revoked+unknown > 0 {
		return brokenf("CONFIG: %d of %d requests ran that were sent over %v after the acknowledgement of a configuration that took their key away; ROUTE: %d of %d ran whose key no configuration held", revoked, perKey, revokeTime, unknown, perKey)
	}
	return nil
}

// runsWithKeys sends requests with a key to all entries in turn and returns how many ran.
func (c *cluster) runsWithKeys(n int, key string) int {
	sent := map[string]bool{}
	for i := range n {
		method, path := http.MethodGet, lookPath
		if i%2 == 1 {
			method, path = http.MethodPost, filePath
		}
		r := c.request(c.vms[i%len(c.vms)], method, path+fmt.Sprint(i), key, []byte("form"))
		sent[r.id] = true
		time.Sleep(50 * time.Millisecond)
	}
	ran := 0
	for _, u := range c.allRuns() {
		if sent[u.id] {
			c.rec.addf("%s ran at %s for tenant %q", u.id, u.target, u.workspace)
			ran++
		}
	}
	return ran
}
