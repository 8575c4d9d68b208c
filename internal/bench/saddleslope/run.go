package saddleslope

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"
)

// options of a run.
type options struct {
	divide int           // sizes are divided by it
	window time.Duration // for what is measured over time
}

// sizes returns three sizes, the largest of which is that of the letter or as
// near to it as one machine comes.
func (o options) sizes(small, middle, large int) []int {
	return []int{max(1, small/o.divide), max(2, middle/o.divide), max(3, large/o.divide)}
}

// measurement is one entry of the table of measurements.
type measurement struct {
	name string
	run  func(ctx context.Context, o options, r *report) error
}

func measurements() []measurement {
	return []measurement{
		{"streams", measureStreams},
		{"changes", measureChanges},
		{"members", measureMembers},
		{"views", measureViews},
		{"claims", measureClaims},
		{"snapshots", measureSnapshots},
		{"tokens", measureTokens},
		{"drafts", measureDrafts},
		{"requests", measureRequests},
		{"events", measureEvents},
	}
}

// Run measures and writes a table. args are flags: -only NAME,NAME, -divide N
// and -window TIME.
func Run(ctx context.Context, args []string, out io.Writer) error {
	var o options
	fs := flag.NewFlagSet("slopes", flag.ContinueOnError)
	fs.SetOutput(out)
	only := fs.String("only", "", "names of measurements, comma-separated; default all")
	fs.IntVar(&o.divide, "divide", 1, "divide the sizes by this number")
	fs.DurationVar(&o.window, "window", 5*time.Second, "time over which streams are measured")
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil
		}
		return err
	}
	if o.divide < 1 || o.window <= 0 || fs.NArg() > 0 {
		return errors.New("-divide must be at least 1, -window above 0, and there are no arguments")
	}
	chosen, err := choose(*only)
	if err != nil {
		return err
	}
	r := &report{}
	for _, m := range chosen {
		if err := m.run(ctx, o, r); err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
	}
	r.write(out)
	return nil
}

func choose(only string) ([]measurement, error) {
	all := measurements()
	if only == "" {
		return all, nil
	}
	var out []measurement
	for name := range strings.SplitSeq(only, ",") {
		found := false
		for _, m := range all {
			if m.name == name {
				out = append(out, m)
				found = true
			}
		}
		if !found {
			return nil, fmt.Errorf("there is no measurement %q", name)
		}
	}
	return out, nil
}
