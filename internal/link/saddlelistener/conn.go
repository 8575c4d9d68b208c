package saddlelistener

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// conn is a connection of a caller. It knows whether a request has begun to arrive, so
// that it is closed only between requests.
type conn struct {
	net.Conn
	openedAt time.Time

	mu          sync.Mutex
	used        bool // bytes have arrived
	sinceAnswer bool // bytes have arrived since the last write
	inRequest   bool // a request has begun to arrive and has not been answered
	closed      bool // by closeUnused
}

// Read reads from the connection. What arrives after closeUnused is not read.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.used, c.sinceAnswer, c.inRequest = true, true, true
	return n, err
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.sinceAnswer = false
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// CloseWrite closes the writing side, which net/http does before it closes a connection with
// unread bytes.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets what Close does with unsent bytes, on a TCP connection.
func (c *conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(sec)
	}
	return errors.ErrUnsupported
}

// beginRequest records that the header of a request has been read. Its bytes may have arrived
// with the request before it.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = true
}

// endRequest records that a request has been answered. The next one may have begun to arrive
// since the answer was written.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = c.sinceAnswer
}

// closeUnused closes the connection if no request has begun to arrive, read or not. One that is
// new is left open for unusedConnTimeout.
func (c *conn) closeUnused(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.inRequest || (!c.used && now.Sub(c.openedAt) < unusedConnTimeout) || c.hasUnread() {
		return
	}
	c.closed = true
	_ = c.Close()
}

// hasUnread reports whether bytes have arrived that were not read. A process that is held up
// reads late.
func (c *conn) hasUnread() bool {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok { // no socket
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil { // closed
		return false
	}
	unread := false
	// A pending read does not block Control.
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = n > 0 && err == nil
	})
	return err == nil && unread
}
