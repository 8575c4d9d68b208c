package saddlebudget

import (
	"errors"
	"io"
)

const (
	// firstRoom is the room for the first bytes of a body, and smallRoom that for a body of an
	// announced length. BaseShare covers both.
	firstRoom = 1 << 10
	smallRoom = 8 << 10
)

// FirstPart is the part of a body that has been read.
type FirstPart struct {
	Bytes   []byte
	Whole   bool            // the body has ended
	Refused *ExhaustedError // why no more was read; nil: the limit was reached or the body has ended
}

// ReadFirst reads a body up to its end, a limit, or what the share may hold. announced is the
// length of the body according to its header; negative: unknown. An error is one of reading.
func ReadFirst(body io.Reader, limit int, announced int64, share *Share) (FirstPart, error) {
	var part FirstPart
	room := firstRoom
	if announced >= 0 {
		room = smallRoom
	}
	if announced >= 0 && announced < int64(limit) {
		limit = int(announced) + 1 // one more, to read the end
	}
	for {
		if len(part.Bytes) == cap(part.Bytes) {
			if !part.extend(min(room, limit), share) {
				return part, nil
			}
			room = 2 * cap(part.Bytes)
		}
		n, err := body.Read(part.Bytes[len(part.Bytes):cap(part.Bytes)])
		part.Bytes = part.Bytes[:len(part.Bytes)+n]
		if errors.Is(err, io.EOF) {
			part.Whole = true
			return part, nil
		}
		if err != nil {
			return part, err
		}
	}
}

// extend makes room for a number of bytes, unless the part has it already or the share may not
// hold more. The old bytes count until the answer ends, because they are garbage for some time.
func (p *FirstPart) extend(room int, share *Share) bool {
	if room <= len(p.Bytes) {
		return false
	}
	if err := share.Grow(Size(room)); err != nil {
		errors.As(err, &p.Refused)
		return false
	}
	p.Bytes = append(make([]byte, 0, room), p.Bytes...)
	return true
}
