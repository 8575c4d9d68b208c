package saddlesse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// readBytes is the buffer of one stream; an event of a few tokens is far shorter.
const readBytes = 2 << 10

// Event is one event as it was received. Raw is good until the next call of
// Next.
type Event struct {
	Raw []byte // with the empty line that ends it
	ID  string // empty: it has none
}

// Reader reads events. It is used by one goroutine.
type Reader struct {
	in  *bufio.Reader
	raw []byte
}

// NewReader returns a reader of a body.
func NewReader(body io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(body, readBytes)}
}

var idField = []byte("id:")

// Next returns the next whole event. At the end of the body it returns io.EOF,
// with the bytes after the last whole event if there are any. When the body
// breaks off it returns the body's error, and part of an event is dropped.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	var e Event
	for {
		start := len(r.raw)
		if err := r.line(); err != nil {
			if errors.Is(err, io.EOF) {
				return Event{Raw: r.raw}, io.EOF
			}
			return Event{}, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 {
			e.Raw = r.raw
			return e, nil
		}
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.ID = string(bytes.TrimSpace(id))
		}
	}
}

// line appends one line to the event.
func (r *Reader) line() error {
	for {
		part, err := r.in.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
