package saddlebench

import (
	"flag"
	"io"
)

// options are the flags that every command has.
type options struct {
	seed uint64
	json bool
}

// parse reads the flags of a command; register adds those of its own.
func parse(name string, args []string, out io.Writer, register func(*flag.FlagSet)) (options, error) {
	var o options
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(out)
	fs.Uint64Var(&o.seed, "seed", 1, "seed of the run")
	fs.BoolVar(&o.json, "json", false, "write JSON lines instead of a table")
	if register != nil {
		register(fs)
	}
	err := fs.Parse(args)
	return o, err
}
