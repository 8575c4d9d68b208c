package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// foreignReport checks that a configuration is in force while another writer sends
// status reports that cannot be read. The identifier of such a report is not UTF-8.
func foreignReport(c *cluster, trouble bool) error {
	if err := c.prepare(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(stop)
	if trouble {
		wg.Go(func() { c.sendForeignReports(stop) })
	}
	time.Sleep(2*contactTime + time.Second)
	acked, err := c.submit(2, newTable(2, annex).encode())
	if err != nil {
		return err
	}
	late := acked.Add(configApplyTime)
	time.Sleep(time.Until(late))
	byOldService, refused, total := 0, 0, 0
	every(50*time.Millisecond, 20*time.Second, func(n int) {
		path, key := openPath, ""
		if n%2 == 0 {
			path, key = lookPath, callerKey
		}
		r := c.request(c.vms[n%len(c.vms)], http.MethodGet, path+fmt.Sprint(n), key, nil)
		total++
		if r.status != http.StatusOK {
			refused++
		}
		for _, u := range c.allRuns() {
			if u.id == r.id && u.group == desk && r.sentAt.After(late) {
				byOldService++
			}
		}
	})
	c.rec.addf("%d requests sent later than %v after the acknowledgement of version 2: %d run by the old service, %d without success", total, configApplyTime, byOldService, refused)
	if byOldService > 0 {
		return brokenf("CONFIG: %d of %d requests sent over %v after the acknowledgement of version 2 were run by the service of version 1; %d had no success", byOldService, total, configApplyTime, refused)
	}
	return nil
}

// sendForeignReports sends a report each heartbeatTime to the control processes in turn.
func (c *cluster) sendForeignReports(stop <-chan struct{}) {
	body := encodeBody(map[string]any{
		"backend": "another-service", "address": "127.0.0.1:9", "zone": zones[0], "version": "v1", "slots": 6, "state": "ready",
		"cold_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	for n := 0; ; n++ {
		address := c.controlAddresses()[n%len(c.vms)]
		answer, err := sendRaw(address, fmt.Sprintf("PUT /instances/i-\xff\xfe HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", address, len(body), body))
		c.rec.addf("foreign report to %s: %q %v", address, answer, err)
		select {
		case <-stop:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

// sendRaw writes bytes to a new connection and returns the first line of the answer.
func sendRaw(address, text string) (string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte(text)); err != nil {
		return "", err
	}
	buf := make([]byte, 15)
	n, err := conn.Read(buf)
	return string(buf[:n]), err
}
