package saddlehttpclient

import (
	"errors"
	"io"
	"time"
)

// body is the body of an answer. Once it was read to its end, closing it gives
// the connection back; closing it earlier closes the connection.
type body struct {
	in      io.ReadCloser
	client  *Client
	conn    *conn
	address string
	stop    func() bool
	written <-chan error
	last    bool // the target closes the connection
	ended   bool
	closed  bool
}

// Read reads of the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.in.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// Close ends the use of the connection.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	alive := b.stop()
	if !alive || b.last || !b.ended || !b.sent() || b.conn.in.Buffered() > 0 {
		return b.conn.Close()
	}
	b.client.keep(time.Now(), b.address, b.conn)
	return nil
}

// sent reports whether the whole request was written: the rest of its body would
// be taken for the next request.
func (b *body) sent() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}
