package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// outcome is what a requester saw of a request.
type outcome struct {
	status int    // 0: the channel was closed without a whole answer
	body   string // of a whole answer
	err    error
}

// channel is a channel of a requester that it keeps open for many requests.
type channel struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// open opens the channel if it isn't open. A new channel has one second.
func (c *channel) open() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *channel) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request is a request of a requester.
type request struct {
	id, path string
	budget   time.Duration
	size     int
	perS     int // bytes of the body sent in a second; 0: no limit
}

// send sends a POST request and reads its answer.
func (c *channel) send(r request) outcome {
	if err := c.open(); err != nil {
		return outcome{err: err}
	}
	_ = c.conn.SetDeadline(time.Now().Add(r.budget + time.Second))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: ficu95.example\r\n%s: %s\r\n%s: %d\r\n%s: n2ctnfzs989anu6wsjnb\r\nContent-Length: %d\r\n\r\n",
		r.path, wire("request"), r.id, wire("budget"), r.budget.Milliseconds(), wire("key"), r.size)
	if _, err := io.WriteString(c.conn, head); err != nil {
		c.close()
		return outcome{err: err}
	}
	sent, conn := make(chan struct{}), c.conn
	go func() {
		defer close(sent)
		sendBody(conn, r)
	}()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		c.close()
		<-sent
		return outcome{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.close()
		<-sent
		return outcome{err: err}
	}
	if resp.Close {
		c.close()
	}
	<-sent
	return outcome{status: resp.StatusCode, body: string(body)}
}

// sendBody sends the body of a request in parts, no faster than it says.
func sendBody(conn net.Conn, r request) {
	const part = 64 << 10
	data := make([]byte, part)
	start := time.Now()
	for done := 0; done < r.size; {
		n, err := conn.Write(data[:min(part, r.size-done)])
		if err != nil {
			return
		}
		done += n
		if r.perS > 0 {
			time.Sleep(time.Until(start.Add(time.Duration(done) * time.Second / time.Duration(r.perS))))
		}
	}
}

// every calls f each interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func(n int)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f(n)
		}
	}
}
