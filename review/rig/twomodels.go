package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	secondModel = "summary-models"
	powerTime   = 1500 * time.Millisecond // without power
)

// twoModels adds a second model to the configuration, and then lets all machines lose
// power, those of the engines too, which start again empty. It checks that requests are
// served again.
func twoModels(c *cluster, trouble bool) error {
	for i, zone := range zones {
		if err := c.startEngine(fmt.Sprintf("i-engine-%d", i), drafts, zone, 0); err != nil {
			return err
		}
	}
	for i, zone := range zones {
		if _, err := c.startTarget(fmt.Sprintf("i-desk-%d", i), desk, zone, 20*time.Millisecond); err != nil {
			return err
		}
	}
	config := newTable(1, desk)
	config.addModel()
	if _, err := c.submit(1, config.encode()); err != nil {
		return err
	}
	if err := c.awaitReady(30 * time.Second); err != nil {
		return err
	}
	config.Version = 2
	config.addSecondModel()
	if _, err := c.submit(2, config.encode()); err != nil {
		return err
	}
	for i, zone := range zones {
		if err := c.startEngine(fmt.Sprintf("i-second-%d", i), secondModel, zone, 0); err != nil {
			return err
		}
	}
	time.Sleep(contactTime + configApplyTime)
	before, sent := c.serveMix()
	if before < sent/4 {
		return fmt.Errorf("%d of %d requests were served before the final fault", before, sent)
	}
	if trouble {
		if err := c.losePower(); err != nil {
			return err
		}
	}
	time.Sleep(recoverTime)
	after, sent := c.serveMix()
	if after < sent/4 {
		return brokenf("RECOVER: %d of %d requests were served that were sent later than %v after all machines were back; %d before", after, sent, recoverTime, before)
	}
	return nil
}

// serveMix sends eight drafts of the first model, and one filing: drafts are 63 of the 72
// requests a second of the site.
func (c *cluster) serveMix() (served, sent int) {
	for n := range 8 {
		sent++
		if d := c.requestDraft(c.vms[n%len(c.vms)], draftPath+fmt.Sprint(n)); d.complete {
			served++
		}
	}
	sent++
	if r := c.request(c.vms[0], http.MethodPost, filePath+"claim", callerKey, []byte("form")); r.err == nil && r.status == http.StatusOK {
		served++
	}
	c.rec.addf("%d of %d requests served", served, sent)
	return served, sent
}

// addSecondModel adds another service with the same kind of engine, and a route to it.
func (t *table) addSecondModel() {
	b := t.Backends[len(t.Backends)-1]
	b.Name = secondModel
	t.Backends = append(t.Backends, b)
	r := t.Routes[len(t.Routes)-1]
	r.Name, r.PathPrefix, r.Backend = "r/summary/", "/summary/", secondModel
	t.Routes = append(t.Routes, r)
}

// losePower ends all processes and targets, and starts them again after powerTime.
func (c *cluster) losePower() error {
	c.rec.addf("all machines lose power")
	for _, v := range c.vms {
		for _, p := range v.processes() {
			p.kill()
		}
	}
	for _, t := range c.targets {
		t.stop()
	}
	time.Sleep(powerTime)
	for _, v := range c.vms {
		if err := c.startVM(v, false); err != nil {
			return err
		}
	}
	for _, t := range c.targets {
		if err := t.restart(); err != nil {
			return err
		}
	}
	c.rec.addf("all machines are back")
	return nil
}

// restart starts a target again at its address, in a new lifetime and without layers.
func (t *target) restart() error {
	lis, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	if t.engine != nil {
		t.mu.Lock()
		t.engine.from, t.engine.to, t.engine.orders = 0, 0, 0
		t.mu.Unlock()
	}
	t.serve(lis)
	return nil
}
