package saddlesse_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlesse"
)

var errReset = errors.New("connection reset")

// event is a saddlesse.Event that remains valid.
type event struct {
	Raw, ID string
}

func readAll(in io.Reader) (events []event, err error) {
	r := saddlesse.NewReader(in)
	for {
		e, err := r.Next()
		if len(e.Raw) > 0 {
			events = append(events, event{Raw: string(e.Raw), ID: e.ID})
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
		"two":                       {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}},
		"CRLF line ends":            {"id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", []string{"1", "2"}},
		"CR line ends":              {"id: 1\rdata: a\r\rid: 2\r\r", []string{"1", "2"}},
		"mixed line ends":           {"id: 1\r\ndata: a\n\r\nid: 2\rdata: b\n\r", []string{"1", "2"}},
		"other fields first":        {"weights: 2\nid: 7\ndata: a\n\n", []string{"7"}},
		"longer than the buffer":    {long, []string{"3"}},
		"without an identifier":     {"data: a\n\n", []string{""}},
		"comment before an event":   {": waiting\nid: 1\ndata: a\n\n", []string{"1"}},
		"comment after the last":    {"id: 1\ndata: a\n\n: done\n", []string{"1", ""}},
		"empty line after the last": {"id: 1\ndata: a\n\n\n", []string{"1", ""}},
		"nothing":                   {"", nil},
	} {
		t.Run(name, func(t *testing.T) {
			for chunking, in := range map[string]io.Reader{
				"at once": strings.NewReader(c.in), "byte by byte": iotest.OneByteReader(strings.NewReader(c.in)),
			} {
				is := is.New(t)
				events, err := readAll(in)
				is.Equal(err, io.EOF)
				var ids []string
				var raw strings.Builder
				for _, e := range events {
					raw.WriteString(e.Raw)
					if strings.TrimSpace(e.Raw) != "" || chunking == "at once" { // the LF of a CRLF may follow by itself
						ids = append(ids, e.ID)
					}
				}
				is.Equal(raw.String(), c.in) // all bytes are preserved
				if chunking == "at once" || name != "empty line after the last" {
					is.Equal(ids, c.ids)
				}
			}
		})
	}
}

// Guards against a body that ends inside an event being taken for a complete stream.
func TestEndInsideEventIsAnError(t *testing.T) {
	const complete = "id: 1\ndata: a\n\n"
	for name, partial := range map[string]string{
		"inside a line":     "id: 2\nda",
		"after a line":      "id: 2\ndata: b\n",
		"after a CRLF line": "id: 2\r\ndata: b\r\n",
		"after a CR line":   "id: 2\rdata: b\r",
		"inside a comment":  ": waiti",
		"after one byte":    "i",
	} {
		t.Run(name, func(t *testing.T) {
			for _, in := range []io.Reader{
				strings.NewReader(complete + partial), iotest.OneByteReader(strings.NewReader(complete + partial)),
			} {
				is := is.New(t)
				events, err := readAll(in)
				var ended *saddlesse.PartialEventError
				is.True(errors.As(err, &ended))
				is.Equal(ended.Bytes, len(partial))
				is.True(!errors.Is(err, io.EOF))
				is.Equal(len(events), 1) // nothing of the partial event is returned
				is.Equal(events[0].Raw, complete)
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

// An event is bounded, so that a target cannot fill the memory.
func TestEventIsBounded(t *testing.T) {
	for name, line := range map[string]string{"one line": "x", "lines": "data: x\n", "comments": ": x\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := readAll(strings.NewReader(strings.Repeat(line, 1<<20/len(line))))
			var tooLong *saddlesse.EventTooLongError
			is.True(errors.As(err, &tooLong))
		})
	}
}

// Guards against comments, empty lines and other fields being taken for events: a receiver
// dispatches a block only if it has data.
func TestOnlyDataMakesAnEvent(t *testing.T) {
	for block, hasData := range map[string]bool{
		"\n":                         false,
		": ping\n\n":                 false,
		"id: 1\n\n":                  false,
		"event: ping\nretry: 3\n\n":  false,
		"foo: x\n\n":                 false,
		"database: x\n\n":            false,
		" data: x\n\n":               false,
		"Data: x\n\n":                false,
		"data: x\n\n":                true,
		"data:x\r\n\r\n":             true,
		"data\r\r":                   true,
		"data:\n\n":                  true,
		": ping\nid: 1\ndata: x\n\n": true,
		"data: x\nfoo: x\n\n":        true,
		"\uFEFFdata: x\n\n":          true, // a byte order mark may precede a stream
	} {
		t.Run(block, func(t *testing.T) {
			is := is.New(t)
			e, err := saddlesse.NewReader(strings.NewReader(block)).Next()
			is.NoErr(err)
			is.Equal(string(e.Raw), block)
			is.Equal(e.HasData, hasData)
		})
	}
}
