package saddlehops

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"

	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlereport"
)

// options are the flags of a run.
type options struct {
	table  string // name of the only table to measure; empty: all tables
	tokens int    // tokens per request; the recovery table uses recoveryTokenFactor times as many
	json   bool
}

// measurement measures one table.
type measurement struct {
	name    string
	measure func(context.Context, options) (*saddlereport.Table, error)
}

// Run runs the measurements and writes their tables. args are the flags -table,
// -tokens and -json.
func Run(ctx context.Context, args []string, out io.Writer) error {
	var o options
	fs := flag.NewFlagSet("hops", flag.ContinueOnError)
	fs.SetOutput(out)
	fs.StringVar(&o.table, "table", "", "measure only this table: hops, streams or recovery")
	fs.IntVar(&o.tokens, "tokens", 40, "tokens per request; the recovery table uses 4 times as many")
	fs.BoolVar(&o.json, "json", false, "write JSON lines")
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil
		}
		return err
	}
	tables := []measurement{
		{"hops", measureHops},
		{"streams", measureStreams},
		{"recovery", measureRecovery},
	}
	if o.table != "" && !slices.ContainsFunc(tables, func(t measurement) bool { return t.name == o.table }) {
		return fmt.Errorf("-table %q must be hops, streams or recovery", o.table)
	}
	for _, t := range tables {
		if o.table != "" && o.table != t.name {
			continue
		}
		table, err := t.measure(ctx, o)
		if err != nil {
			return fmt.Errorf("%s: %w", t.name, err)
		}
		if err := table.Write(out, o.json); err != nil {
			return err
		}
	}
	return nil
}
