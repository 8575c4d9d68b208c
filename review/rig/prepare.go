package main

import (
	"fmt"
	"net/http"
	"time"
)

// prepare starts two services, submits the first configuration and waits until all
// entries serve it and are in touch.
func (c *cluster) prepare() error {
	for _, group := range []string{desk, annex} {
		for i, zone := range zones {
			if _, err := c.startTarget(fmt.Sprintf("i-%s-%d", group, i), group, zone, 20*time.Millisecond); err != nil {
				return err
			}
		}
	}
	if _, err := c.submit(1, newTable(1, desk).encode()); err != nil {
		return err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(contactTime + time.Second)
	for _, v := range c.vms {
		if r := c.request(v, http.MethodGet, lookPath+"first", callerKey, nil); r.status != http.StatusOK {
			return fmt.Errorf("%s does not serve: %s", v.name, outcome(r.status, r.err))
		}
	}
	return nil
}
