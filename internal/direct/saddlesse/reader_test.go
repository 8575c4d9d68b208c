package saddlesse_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlesse"
)

var errReset = errors.New("connection reset")

func readAll(in io.Reader) (events []saddlesse.Event, err error) {
	r := saddlesse.NewReader(in)
	for {
		e, err := r.Next()
		if len(e.Raw) > 0 {
			events = append(events, saddlesse.Event{Raw: bytes.Clone(e.Raw), ID: e.ID})
		}
		if err != nil {
			return events, err
		}
	}
}

func TestReaderSplitsEvents(t *testing.T) {
	long := "id: 3\ndata: " + strings.Repeat("x", 10_000) + "\n\n"
	for name, c := range map[string]struct {
		in  string
		ids []string
	}{
		"two":                     {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}},
		"CRLF line ends":          {"id: 1\r\ndata: a\r\n\r\n", []string{"1"}},
		"other fields first":      {"weights: 2\nid: 7\ndata: a\n\n", []string{"7"}},
		"longer than the buffer":  {long, []string{"3"}},
		"without an identifier":   {"data: a\n\n", []string{""}},
		"without a last new line": {"id: 1\ndata: a\n\nid: 2\ndata: b", []string{"1", "2"}},
		"nothing":                 {"", nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, in := range []io.Reader{strings.NewReader(c.in), iotest.OneByteReader(strings.NewReader(c.in))} {
				events, err := readAll(in)
				is.Equal(err, io.EOF)
				var ids []string
				var raw strings.Builder
				for _, e := range events {
					ids = append(ids, e.ID)
					raw.Write(e.Raw)
				}
				is.Equal(raw.String(), c.in) // all bytes are preserved
				// Without a last new line, the last event is returned without its identifier.
				if c.ids != nil && name != "without a last new line" {
					is.Equal(ids, c.ids)
				}
			}
		})
	}
}

func TestPartialEventIsDropped(t *testing.T) {
	is := is.New(t)
	in := io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), iotest.ErrReader(errReset))
	events, err := readAll(in)
	is.Equal(err, errReset)
	is.Equal(len(events), 1)
	is.Equal(events[0].ID, "1")
}
