// Package saddlelog writes log lines without making those who log wait. It is
// bounded: when the output does not keep up, lines are left out and counted.
package saddlelog

import (
	"expvar"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog/diode"
)

// lines is the number of lines that may wait for the output: some seconds of a
// loaded entry.
const lines = 4096

var countDropped = expvar.NewInt("log_lines_dropped_total")

// New returns a writer over an output, and its clean-up, which writes what still
// waits.
func New(out io.Writer) (io.Writer, func() error) {
	w := diode.NewWriter(out, lines, 0, func(missed int) {
		countDropped.Add(int64(missed))
		_, _ = fmt.Fprintf(out, `{"level":"warn","time":%q,"lines":%d,"message":"log lines left out"}`+"\n",
			time.Now().UTC().Format(time.RFC3339), missed)
	})
	return w, w.Close
}
