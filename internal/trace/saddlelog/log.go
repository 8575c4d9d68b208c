// Package saddlelog provides a non-blocking log writer with a bounded buffer. When
// the output does not keep up, lines are dropped and counted.
package saddlelog

import (
	"expvar"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog/diode"
)

// maxBufferedLines is the capacity of the buffer in lines. While the output is blocked,
// an entry under load fills the buffer in a few seconds.
const maxBufferedLines = 4096

// countDropped counts the log lines that were dropped because the buffer was full.
var countDropped = expvar.NewInt("log_lines_dropped_total")

// New returns a non-blocking writer to out and a function that flushes the
// buffered lines and closes the writer.
func New(out io.Writer) (io.Writer, func() error) {
	w := diode.NewWriter(out, maxBufferedLines, 0, func(dropped int) {
		countDropped.Add(int64(dropped))
		_, _ = fmt.Fprintf(out, `{"level":"warn","time":%q,"lines":%d,"message":"log lines dropped"}`+"\n",
			time.Now().UTC().Format(time.RFC3339), dropped)
	})
	return w, w.Close
}
