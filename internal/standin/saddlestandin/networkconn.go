package saddlestandin

import (
	"net"
	"time"
)

// networkConn is one end of a connection of a Network.
type networkConn struct {
	reads  *flow
	writes *flow
	forget func()
}

// Read reads what the other end sent.
func (c *networkConn) Read(p []byte) (int, error) { return c.reads.read(p) }

// Write never blocks.
func (c *networkConn) Write(p []byte) (int, error) { return c.writes.write(p) }

// Close closes both directions; what is under way is lost.
func (c *networkConn) Close() error {
	c.reads.close()
	c.writes.close()
	c.forget()
	return nil
}

func (c *networkConn) silence() {
	c.reads.silence()
	c.writes.silence()
}

// LocalAddr returns an address without meaning.
func (c *networkConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr returns an address without meaning.
func (c *networkConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline does nothing.
func (c *networkConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *networkConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *networkConn) SetWriteDeadline(time.Time) error { return nil }
