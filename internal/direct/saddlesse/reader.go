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

// maxEventBytes bounds an event. Events hold the text of a few tokens.
const maxEventBytes = 256 << 10

// Event is one block of lines as received. Only a block with data dispatches an event at its
// receiver. Raw is only valid until the next call of Next.
type Event struct {
	Raw       []byte // including the empty line that ends the event
	ID        string // empty: none
	HasFields bool   // false: the block consists of comments, or of its empty line
	HasData   bool
}

// Reader reads events, whose lines end with LF, CRLF or CR. It is not safe for concurrent
// use.
type Reader struct {
	buffered *bufio.Reader
	raw      []byte
	grow     func(n int) error // see SetGrow
	grown    int               // bytes for which grow was called
	afterCR  bool              // the previous line ended with CR, and the next byte may be the LF that belongs to it
	started  bool              // a line has been read
}

// Buffered reports whether bytes after the last event have arrived and were not returned yet.
func (r *Reader) Buffered() bool { return r.buffered.Buffered() > 0 }

// NewReader returns a Reader of the events in body.
func NewReader(body io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(body, readBufferBytes)}
}

var (
	byteOrderMark = []byte("\uFEFF")
	idField       = []byte("id:")
	dataField     = []byte("data:")
	dataName      = []byte("data")
	commentPrefix = []byte(":")
)

// Next returns the next complete event. At the end of the body it returns io.EOF if the
// body ended between two events, together with the comments after the last one. If the
// body ended inside an event, the error is a *PartialEventError. If reading the body
// fails, it returns that error. An event longer than maxEventBytes is an
// *EventTooLongError.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	var e Event
	complete := true // no field has been read since the last event
	r.appendLF()
	eventStart := len(r.raw)
	for {
		line, err := r.readLine()
		if !r.started {
			line = bytes.TrimPrefix(line, byteOrderMark)
			r.started = true
		}
		switch {
		case errors.Is(err, io.EOF) && complete && len(line) == 0:
			return Event{Raw: r.raw}, io.EOF
		case errors.Is(err, io.EOF):
			return Event{}, &PartialEventError{Bytes: len(r.raw) - eventStart}
		case err != nil:
			return Event{}, err
		case len(line) == 0:
			e.Raw, e.HasFields = r.raw, !complete
			return e, nil
		case len(r.raw) > maxEventBytes:
			return Event{}, &EventTooLongError{Limit: maxEventBytes}
		case bytes.HasPrefix(line, commentPrefix):
			continue
		}
		complete = false
		e.HasData = e.HasData || bytes.HasPrefix(line, dataField) || bytes.Equal(line, dataName)
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.ID = string(bytes.TrimSpace(id))
		}
	}
}

// readLine appends one line with its line end to the current event, and returns it without
// the line end. With an error it returns the part of the line that was read.
func (r *Reader) readLine() ([]byte, error) {
	r.appendLF()
	start := len(r.raw)
	for {
		if _, err := r.buffered.Peek(1); err != nil {
			return r.raw[start:], err
		}
		buf, err := r.buffered.Peek(r.buffered.Buffered())
		if err != nil {
			return r.raw[start:], err
		}
		if err := r.growFor(len(buf)); err != nil {
			return nil, err
		}
		end := bytes.IndexAny(buf, "\r\n")
		if end < 0 {
			r.appendBuffered(len(buf))
			if len(r.raw) > maxEventBytes {
				return nil, &EventTooLongError{Limit: maxEventBytes}
			}
			continue
		}
		r.afterCR = buf[end] == '\r'
		r.appendBuffered(end + 1)
		line := r.raw[start : len(r.raw)-1]
		if r.afterCR && r.buffered.Buffered() > 0 {
			r.appendLF()
		}
		return line, nil
	}
}

// appendLF appends the LF of a CRLF whose CR has been appended.
func (r *Reader) appendLF() {
	if !r.afterCR {
		return
	}
	r.afterCR = false
	if next, err := r.buffered.Peek(1); err == nil && next[0] == '\n' {
		r.appendBuffered(1)
	}
}

// appendBuffered moves bytes from the buffer to the current event.
func (r *Reader) appendBuffered(n int) {
	buf, _ := r.buffered.Peek(n) // n bytes are buffered
	r.raw = append(r.raw, buf...)
	_, _ = r.buffered.Discard(n)
}
