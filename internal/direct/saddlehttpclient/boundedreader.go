package saddlehttpclient

import (
	"bytes"
	"fmt"
	"io"
	"math"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlebudget"
)

const (
	// headerCopies is how often the bytes of a header are held while it is read: as
	// received, as a line that grows, and as strings.
	headerCopies = 4
	// lineMemory is the memory of a line of a header beyond its bytes: an entry in the map of the
	// answer, and in its copies for the caller.
	lineMemory saddlebudget.Size = 256
)

// unbounded is the value of boundedReader.remaining without a bound.
const unbounded = math.MaxInt64

// boundedReader returns a *HeaderTooLongError instead of reading more than a number of
// bytes. It keeps what it reads within a bound, and the share of the answer grows with it.
type boundedReader struct {
	reader    io.Reader
	remaining int64
	kept      []byte
	share     *saddlebudget.Share // set within a bound
	charged   int                 // bytes of kept by which the share has grown
	refused   error               // why the share did not grow
}

// bound begins to bound and to keep what is read.
func (b *boundedReader) bound(n int64, share *saddlebudget.Share) {
	b.remaining, b.kept, b.share, b.charged, b.refused = n, b.kept[:0], share, 0, nil
}

// unbound ends what bound began.
func (b *boundedReader) unbound() {
	b.remaining, b.share = unbounded, nil
	if cap(b.kept) > readBufferBytes {
		b.kept = nil // idle connections hold little memory
	}
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, &HeaderTooLongError{Limit: maxHeaderBytes}
	}
	if b.remaining == unbounded {
		return b.reader.Read(p)
	}
	if err := b.charge(len(b.kept)); err != nil { // all of it has been taken as header
		return 0, err
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	b.kept = append(b.kept, p[:n]...)
	return n, err
}

// charge lets the share grow for the first n bytes of what is kept. What follows them may belong
// to a body. An error stays until the bound ends, because a bufio.Reader reads on after one.
func (b *boundedReader) charge(n int) error {
	if b.refused != nil {
		return b.refused
	}
	header := b.kept[b.charged:n]
	lines := saddlebudget.Size(bytes.Count(header, []byte("\n")))
	b.refused = b.share.Grow(headerCopies*saddlebudget.Size(len(header)) + lines*lineMemory)
	b.charged = n
	return b.refused
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
