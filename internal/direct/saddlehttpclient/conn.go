package saddlehttpclient

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	readBufferBytes    = 4 << 10
	defaultIdleTimeout = 2 * time.Second        // idle timeout for targets that announce none
	idleMargin         = 500 * time.Millisecond // subtracted from the target's timeout, for packets in flight
)

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	reader      *bufio.Reader // reads from bounds
	bounds      *boundedReader
	used        bool          // the connection has carried a request
	idleConns   int           // bound of the idle connections to the target
	idleTimeout time.Duration // idle time after which the connection is not reused
	idleSince   time.Time     // time at which the connection became idle
}

func newConn(c net.Conn) *conn {
	bounds := &boundedReader{reader: c, remaining: unbounded}
	return &conn{Conn: c, reader: bufio.NewReaderSize(bounds, readBufferBytes), bounds: bounds, idleConns: defaultIdleConns, idleTimeout: defaultIdleTimeout}
}

// readAnswer reads the header of an answer, which has been bounded. A field that marks the end
// of the body but is not evaluated is an error, because the body would be taken as whole
// wherever the connection ends.
func (c *conn) readAnswer(r *http.Request) (*http.Response, error) {
	start := len(c.bounds.kept) - c.reader.Buffered()
	resp, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < http.StatusContinue { // net/http reads such a status, but does not write it
		return nil, fmt.Errorf("answer with the status %q", resp.Status)
	}
	if err := checkFraming(c.bounds.kept[start:len(c.bounds.kept)-c.reader.Buffered()], resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// usable reports whether an idle connection is still open and nothing has arrived on
// it. Bytes that arrive while no request is in progress belong to no request.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
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
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = n < 0 && err == syscall.EAGAIN
		return true
	})
	return err == nil && usable
}

// updateIdleTimeout applies the idle timeout that the target announces in the
// Keep-Alive header.
func (c *conn) updateIdleTimeout(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			c.idleTimeout = time.Duration(s)*time.Second - idleMargin
		}
	}
}
