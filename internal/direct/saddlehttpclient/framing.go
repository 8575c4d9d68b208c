package saddlehttpclient

import (
	"bytes"
	"fmt"
	"net/http"
)

// FramingError reports a header field that marks the end of a body and that net/http does not
// evaluate.
type FramingError struct {
	Field string // as received
	Proto string // version of the answer
}

// Error names the field.
func (e *FramingError) Error() string {
	return fmt.Sprintf("header field %q of an answer in %s does not mark the end of its body", e.Field, e.Proto)
}

// checkFraming returns a *FramingError if net/http has passed over a field of a header that
// marks the end of the body: one with blanks before its colon, or Transfer-Encoding before
// HTTP/1.1 (RFC 9112, sections 5.1 and 6.1).
func checkFraming(header []byte, resp *http.Response) error {
	for line := range bytes.Lines(header) {
		field, _, found := bytes.Cut(line, []byte(":"))
		if !found {
			continue
		}
		name := bytes.TrimRight(field, " \t")
		encoding := bytes.EqualFold(name, []byte("Transfer-Encoding"))
		if !encoding && !bytes.EqualFold(name, []byte("Content-Length")) {
			continue
		}
		if len(name) < len(field) || (encoding && !resp.ProtoAtLeast(1, 1)) {
			return &FramingError{Field: string(field), Proto: resp.Proto}
		}
	}
	return nil
}
