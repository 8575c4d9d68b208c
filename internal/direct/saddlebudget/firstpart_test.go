package saddlebudget_test

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlebudget"
)

const limit = 256 << 10

// Guards against a first part that lacks bytes, has more than the limit, or is taken as whole
// though it is not.
func TestFirstPartOfABody(t *testing.T) {
	for _, n := range []int{0, 1, 1 << 10, 4<<10 - 1, 4 << 10, 4<<10 + 1, 100_000, limit - 1, limit, limit + 1, 3 * limit} {
		for _, announced := range []int64{-1, int64(n)} {
			for name, wrap := range map[string]func(io.Reader) io.Reader{
				"at once": func(r io.Reader) io.Reader { return r }, "in halves": iotest.HalfReader, "end with the last bytes": iotest.DataErrReader,
			} {
				t.Run(fmt.Sprintf("%d bytes, %d announced, %s", n, announced, name), func(t *testing.T) {
					is := is.New(t)
					share, release := saddlebudget.New(memory).Open("target")
					defer release()
					body := strings.NewReader(strings.Repeat("0123456789", n/10+1)[:n])
					part, err := saddlebudget.ReadFirst(wrap(body), limit, announced, share)
					is.NoErr(err)
					is.True(part.Refused == nil)
					is.True(len(part.Bytes) == min(n, limit))
					is.True(string(part.Bytes) == strings.Repeat("0123456789", n/10+1)[:min(n, limit)])
					is.True(part.Whole == (n < limit) || n == limit) // of exactly the limit, the end may not have been read
					is.True(cap(part.Bytes) <= limit)
				})
			}
		}
	}
}

// Guards against the largest length that can be announced leaving no room.
func TestLargestAnnouncedLength(t *testing.T) {
	is := is.New(t)
	share, release := saddlebudget.New(memory).Open("target")
	defer release()
	part, err := saddlebudget.ReadFirst(strings.NewReader("body"), limit, math.MaxInt64, share)
	is.NoErr(err)
	is.Equal(string(part.Bytes), "body")
}

// Guards against a body whose announced length is far more than what comes taking that memory.
func TestAnnouncedLengthTakesNoMemory(t *testing.T) {
	is := is.New(t)
	share, release := saddlebudget.New(memory).Open("target")
	defer release()
	part, err := saddlebudget.ReadFirst(iotest.ErrReader(io.ErrUnexpectedEOF), limit, limit, share)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(cap(part.Bytes) <= int(saddlebudget.BaseShare))
}

// Guards against bytes that were read being lost when there is no memory for more.
func TestFirstPartWithoutMemory(t *testing.T) {
	is := is.New(t)
	b := saddlebudget.New(memory)
	for i := range 1000 {
		_, release := flood(t, b, fmt.Sprintf("flooding-%d", i))
		defer release()
	}
	share, release := b.Open("flooding-0")
	defer release()
	whole := strings.Repeat("0123456789", limit/10)
	body := strings.NewReader(whole)
	part, err := saddlebudget.ReadFirst(body, limit, -1, share)
	is.NoErr(err)
	is.True(part.Refused != nil)
	is.True(!part.Whole)
	is.True(len(part.Bytes) > 0)
	rest, err := io.ReadAll(body)
	is.NoErr(err)
	is.True(string(part.Bytes)+string(rest) == whole)
}
