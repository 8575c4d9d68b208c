package saddlebench

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlehops"
)

// The exit codes of Run.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// command is a subcommand of saddlebench.
type command struct {
	name    string
	summary string
	run     func(ctx context.Context, args []string, out io.Writer) error
}

// commands returns the subcommands in the order of the help text.
func commands() []command {
	return []command{
		{"choice", "compare choosers of targets, in virtual time", runChoice},
		{"admission", "measure the agents' queue under overload, in virtual time", runAdmission},
		{"recovery", "measure retries while a third of the engines fail, in virtual time", runRecovery},
		{"path", "measure the latency that entry and agent add to an engine's answers, over loopback", runPath},
		{"hops", "measure hop ordering, the streams between agents and the recovery of chains", saddlehops.Run},
	}
}

// Run runs the command line given by args and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		printHelp(out)
		return ExitOK
	}
	for _, c := range commands() {
		if c.name != args[0] {
			continue
		}
		err := c.run(ctx, args[1:], out)
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		if err != nil {
			_, _ = fmt.Fprintf(errOut, "saddlebench %s: %v\n", c.name, err)
			return ExitFailed
		}
		return ExitOK
	}
	_, _ = fmt.Fprintf(errOut, "saddlebench: unknown command %q; see saddlebench help\n", args[0])
	return ExitUsage
}

func printHelp(w io.Writer) {
	_, _ = fmt.Fprint(w, "saddlebench measures fireflysaddle.\n\nUsage: saddlebench COMMAND [flags]\n\n")
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, c := range commands() {
		_, _ = fmt.Fprintf(tw, "  %s\t%s\n", c.name, c.summary)
	}
	_ = tw.Flush()
	_, _ = fmt.Fprint(w, "\nsaddlebench COMMAND -h shows the flags.\n")
}
