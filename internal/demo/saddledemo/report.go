package saddledemo

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// check is the result of checking one guarantee.
type check struct {
	scenario  string
	observed  string // what the engines and services executed or answered
	guarantee string
	held      bool
}

// report is the list of all checks.
type report struct {
	checks []check
}

func (r *report) add(scenario, observed, guarantee string, held bool) {
	r.checks = append(r.checks, check{scenario: scenario, observed: observed, guarantee: guarantee, held: held})
}

// failed returns the number of checks that failed.
func (r *report) failed() int {
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
	_, _ = fmt.Fprintln(tw, "SCENARIO\tEXECUTED BY TARGETS\tGUARANTEE\tHELD")
	for _, c := range r.checks {
		held := "yes"
		if !c.held {
			held = "NO"
		}
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\n", c.scenario, c.observed, c.guarantee, held)
	}
	_ = tw.Flush()
}
