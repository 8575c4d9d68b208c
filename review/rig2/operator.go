package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// call sends a call to control. It tries the machines in turn until one answers 2xx or 4xx.
func call(machines []machine, method, path string, body any) (int, []byte, error) {
	return callWithin(10*time.Second, machines, method, path, body)
}

// callWithin is call with a limit of its own.
func callWithin(limit time.Duration, machines []machine, method, path string, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	client := &http.Client{Timeout: time.Second}
	last := errors.New("no machine serves control")
	end := time.Now().Add(limit)
	for try := 0; time.Now().Before(end); try++ {
		m := machines[try%len(machines)]
		if !m.control {
			continue
		}
		req, err := http.NewRequest(method, "http://"+m.api()+path, bytes.NewReader(data))
		if err != nil {
			return 0, nil, err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			last = err
			time.Sleep(100 * time.Millisecond)
			continue
		}
		answer, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode < 500 {
			return resp.StatusCode, answer, nil
		}
		last = fmt.Errorf("status %d, %w", resp.StatusCode, err)
		time.Sleep(100 * time.Millisecond)
	}
	return 0, nil, last
}
