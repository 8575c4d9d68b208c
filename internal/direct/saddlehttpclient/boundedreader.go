package saddlehttpclient

import (
	"fmt"
	"io"
	"math"
)

// unbounded is the value of boundedReader.remaining without a bound.
const unbounded = math.MaxInt64

// boundedReader returns a *HeaderTooLongError instead of reading more than a number of
// bytes.
type boundedReader struct {
	reader    io.Reader
	remaining int64
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, &HeaderTooLongError{Limit: maxHeaderBytes}
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.remaining)])
	if b.remaining != unbounded {
		b.remaining -= int64(n)
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
