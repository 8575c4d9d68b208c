package saddlehttpclient

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"
)

// body is the body of an answer. Close returns the connection to the client if the body
// was read to its end, and closes the connection otherwise.
type body struct {
	reader     io.ReadCloser
	client     *Client
	conn       *conn
	address    string
	stopCancel func() bool  // stops the end of the context from closing conn; false: conn is closed already
	release    func()       // returns what the header holds
	written    <-chan error // yields the error of writing the request, nil on success
	closeAfter bool         // the connection is not to be reused
	endsByConn bool         // the end of the connection is the end of the body
	unread     int64        // bytes of the body that have not been read; negative: unknown
	atEOF      bool
	failure    error // of the last read; the system reports the end of a connection once
	closed     bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.failure != nil {
		return 0, b.failure
	}
	n, err := b.reader.Read(p)
	b.unread -= int64(n)
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		b.failure = err
	case b.endsByConn && !b.atEOF:
		b.failure = b.writeFailure()
	}
	if b.failure != nil {
		return n, b.failure
	}
	b.atEOF = true
	return n, err
}

// writeFailure returns the error with which the connection ended, if the writing of the request
// met it: the system reports it once, and reads then end as after an orderly close. After an
// orderly close, writing is ended here or has failed with EPIPE.
func (b *body) writeFailure() error {
	_ = b.conn.SetWriteDeadline(time.Now())
	err := <-b.written
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) {
		return nil
	}
	return err
}

// Close implements io.Closer. It returns the connection for reuse only if the exchange
// is complete and no further bytes have arrived. A rest of the body counts as read if it
// has arrived and its length is known.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	b.release()
	alive := b.stopCancel()
	if alive && !b.atEOF && b.unread >= 0 && b.unread <= int64(b.conn.reader.Buffered()) {
		_, _ = io.Copy(io.Discard, b) // cannot block; an error leaves atEOF unset
	}
	if !alive || b.closeAfter || !b.atEOF || !b.requestWritten() || b.conn.reader.Buffered() > 0 {
		return b.conn.Close()
	}
	b.client.putIdle(time.Now(), b.address, b.conn)
	return nil
}

// requestWritten reports whether the request was written completely. If it was not, the
// connection must not be reused, because the target would read the rest of this request's
// body as part of the next request.
func (b *body) requestWritten() bool {
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}
