package saddledemo

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// check is one promise and whether it held.
type check struct {
	asked   string
	ran     string // at the far ends
	promise string
	held    bool
}

// report gathers the checks.
type report struct {
	checks []check
}

func (r *report) add(asked, ran, promise string, held bool) {
	r.checks = append(r.checks, check{asked: asked, ran: ran, promise: promise, held: held})
}

// broken returns the number of promises that did not hold.
func (r *report) broken() int {
	n := 0
	for _, c := range r.checks {
		if !c.held {
			n++
		}
	}
	return n
}

func (r *report) write(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "ASKED\tFAR ENDS RAN\tPROMISE\tHELD")
	for _, c := range r.checks {
		held := "yes"
		if !c.held {
			held = "NO"
		}
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", c.asked, c.ran, c.promise, held)
	}
	_ = tw.Flush()
}
