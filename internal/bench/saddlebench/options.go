package saddlebench

import (
	"flag"
	"io"
)

// options holds the flags that all commands have.
type options struct {
	seed uint64
	json bool
}

// parseFlags parses the flags of a command. addFlags registers the flags that only
// this command has; it may be nil.
func parseFlags(name string, args []string, out io.Writer, addFlags func(*flag.FlagSet)) (options, error) {
	var o options
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(out)
	fs.Uint64Var(&o.seed, "seed", 1, "seed of the run")
	fs.BoolVar(&o.json, "json", false, "write JSON lines instead of a table")
	if addFlags != nil {
		addFlags(fs)
	}
	err := fs.Parse(args)
	return o, err
}
