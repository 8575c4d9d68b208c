package saddlesse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// readBufferBytes is the buffer size of one stream. An event of a few tokens is far
// shorter.
const readBufferBytes = 2 << 10

// Event is one event as received. Raw is only valid until the next call of Next.
type Event struct {
	Raw []byte // including the empty line that ends the event
	ID  string // empty: none
}

// Reader reads events. It is not safe for concurrent use.
type Reader struct {
	buffered *bufio.Reader
	raw      []byte
}

// NewReader returns a Reader of the events in body.
func NewReader(body io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(body, readBufferBytes)}
}

var idField = []byte("id:")

// Next returns the next complete event. At the end of the body it returns io.EOF,
// together with any bytes after the last complete event. If reading the body fails, it
// returns that error and drops an incomplete event.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	var e Event
	for {
		start := len(r.raw)
		if err := r.readLine(); err != nil {
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

// readLine appends one line, including its line end, to the current event.
func (r *Reader) readLine() error {
	for {
		part, err := r.buffered.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
