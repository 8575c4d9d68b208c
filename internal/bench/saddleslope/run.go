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

// options are the flags of a run.
type options struct {
	divisor int           // divisor of all sizes
	window  time.Duration // duration of the measurement of streams
}

// sizes returns the three sizes after division by the divisor. large should be the
// largest size that is planned for the system. If one machine cannot run that size,
// large should be the closest size that the machine can run. The minimum
// sizes 1, 2 and 3 differ because a line cannot be fitted through values at a
// single size.
func (o options) sizes(small, middle, large int) []int {
	return []int{max(1, small/o.divisor), max(2, middle/o.divisor), max(3, large/o.divisor)}
}

// measurement is a named measurement that -only can select.
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

// Run runs the selected measurements and writes their slopes as a table. args
// are the flags -only NAME,NAME, -divide N and -window DURATION.
func Run(ctx context.Context, args []string, out io.Writer) error {
	var o options
	fs := flag.NewFlagSet("slopes", flag.ContinueOnError)
	fs.SetOutput(out)
	only := fs.String("only", "", "comma-separated names of measurements; default all")
	fs.IntVar(&o.divisor, "divide", 1, "divide all sizes by this number")
	fs.DurationVar(&o.window, "window", 5*time.Second, "duration of the measurement of streams")
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil
		}
		return err
	}
	if o.divisor < 1 || o.window <= 0 || fs.NArg() > 0 {
		return errors.New("-divide must be at least 1, -window must be positive, and no arguments are allowed")
	}
	selected, err := selectMeasurements(*only)
	if err != nil {
		return err
	}
	r := &report{}
	for _, m := range selected {
		if err := m.run(ctx, o, r); err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
	}
	r.write(out)
	return nil
}

func selectMeasurements(only string) ([]measurement, error) {
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
			return nil, fmt.Errorf("unknown measurement %q", name)
		}
	}
	return out, nil
}
