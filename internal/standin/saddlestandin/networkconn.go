package saddlestandin

import (
	"net"
	"time"
)

// networkConn is one end of a connection of a Network.
type networkConn struct {
	incoming *pipe
	outgoing *pipe
	onClose  func()
}

// Read reads bytes that the other end has sent.
func (c *networkConn) Read(p []byte) (int, error) { return c.incoming.read(p) }

// Write never blocks.
func (c *networkConn) Write(p []byte) (int, error) { return c.outgoing.write(p) }

// Close closes both directions of the connection. Bytes in transit are lost.
func (c *networkConn) Close() error {
	c.incoming.close()
	c.outgoing.close()
	c.onClose()
	return nil
}

func (c *networkConn) dropTraffic() {
	c.incoming.dropTraffic()
	c.outgoing.dropTraffic()
}

// LocalAddr returns an empty address.
func (c *networkConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr returns an empty address.
func (c *networkConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline does nothing.
func (c *networkConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *networkConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *networkConn) SetWriteDeadline(time.Time) error { return nil }
