package saddlehttpclient

import (
	"fmt"
	"io"
	"math"
)

// unbounded is the value of boundedReader.remaining without a bound.
const unbounded = math.MaxInt64

// boundedReader returns a *HeaderTooLongError instead of reading more than a number of
// bytes. It keeps what it reads within a bound.
type boundedReader struct {
	reader    io.Reader
	remaining int64
	kept      []byte
}

// bound begins to bound and to keep what is read.
func (b *boundedReader) bound(n int64) { b.remaining, b.kept = n, b.kept[:0] }

// unbound ends what bound began.
func (b *boundedReader) unbound() {
	b.remaining = unbounded
	if cap(b.kept) > readBufferBytes {
		b.kept = nil // idle connections hold little memory
	}
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, &HeaderTooLongError{Limit: maxHeaderBytes}
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.remaining)])
	if b.remaining != unbounded {
		b.remaining -= int64(n)
		b.kept = append(b.kept, p[:n]...)
	}
	return n, err
}

// HeaderTooLongError reports that the header of an answer was not complete after a number
// of bytes, which include those of earlier answers on the connection.
type HeaderTooLongError struct {
	Limit int // bytes
}

// Error states the limit.
func (e *HeaderTooLongError) Error() string {
	return fmt.Sprintf("no complete header of an answer within %d bytes", e.Limit)
}
