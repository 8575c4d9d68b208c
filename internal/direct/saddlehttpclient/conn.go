package saddlehttpclient

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	readBytes   = 4 << 10
	defaultIdle = 2 * time.Second        // that a connection is kept where the target names no timeout
	idleMargin  = 500 * time.Millisecond // before the target's timeout, for what is under way
)

// conn is a connection to a target. One request uses it at a time.
type conn struct {
	net.Conn
	in    *bufio.Reader
	used  bool          // it has carried a request
	idle  time.Duration // it may be kept
	since time.Time     // idle since
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, in: bufio.NewReaderSize(c, readBytes), idle: defaultIdle}
}

// quiet reports whether a kept connection is open and nothing has arrived on it:
// bytes without a request belong to none.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = n < 0 && err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// noteKeepAlive takes up how long the target keeps an idle connection.
func (c *conn) noteKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			c.idle = time.Duration(s)*time.Second - idleMargin
		}
	}
}
