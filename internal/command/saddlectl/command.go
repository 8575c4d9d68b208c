package saddlectl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// The exit codes of the command line.
const (
	ExitOK       = 0
	ExitFailed   = 1 // refused, or could not be carried out
	ExitUsage    = 2
	ExitUnknown  = 3 // the outcome is unknown; resend
	ExitConflict = 4 // another revision is in force
	ExitTimeout  = 5 // accepted, not in force everywhere in time
)

// command is one entry of the table of commands.
type command struct {
	name    string
	args    string // after the flags
	summary string
	example string
	run     func(ctx context.Context, s *session, args []string) error
}

// commands returns the table, from which help is made.
func commands() []command {
	return []command{
		{"apply", "FILE", "submit the templates and deployments that a file lists", "saddlectl apply fleet.toml -wait", runApply},
		{"status", "", "show what is accepted and where it is in force", "saddlectl status", runStatus},
		{"targets", "", "list the targets", "saddlectl targets", runTargets},
		{"drain", "TARGET", "give a target no new work", "saddlectl drain mastori-07", runDrain},
		{"undrain", "TARGET", "give a target work again", "saddlectl undrain mastori-07", runUndrain},
		{"timeline", "", "merge the time lines of all processes", "saddlectl timeline -request 6f0c", runTimeline},
		{"control-replace", "OLD NEW ADDRESS", "replace a control replica whose disk or VM is lost (- for none)", "saddlectl control-replace control-2 control-2b 10.1.2.11:7100 -wait", runControlReplace},
		{"control", "", "list the control replicas", "saddlectl control", runControl},
	}
}

// usageError says that the command line is wrong.
type usageError struct {
	reason string
}

func (e *usageError) Error() string { return e.reason }

// Run runs a command line and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		help(out)
		return ExitOK
	}
	for _, c := range commands() {
		if c.name != args[0] {
			continue
		}
		return runCommand(ctx, c, args[1:], out, errOut)
	}
	_, _ = fmt.Fprintf(errOut, "saddlectl: unknown command %q; see saddlectl help\n", args[0])
	return ExitUsage
}

func runCommand(ctx context.Context, c command, args []string, out, errOut io.Writer) int {
	s := newSession(out)
	fs := flag.NewFlagSet(c.name, flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.Usage = func() { commandHelp(errOut, c, fs) }
	s.register(fs)
	positional, err := parse(fs, args)
	if err != nil {
		return ExitUsage
	}
	cleanup, err := s.open()
	if err == nil {
		defer cleanup()
		err = c.run(ctx, s, positional)
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "saddlectl %s: %v\n", c.name, err)
	}
	return exitCode(err)
}

// parse accepts flags before and after the other arguments.
func parse(fs *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for {
		if err := fs.Parse(args); err != nil {
			return nil, err
		}
		if fs.NArg() == 0 {
			return positional, nil
		}
		positional = append(positional, fs.Arg(0))
		args = fs.Args()[1:]
	}
}

func help(w io.Writer) {
	_, _ = fmt.Fprint(w, "saddlectl drives fireflysaddle.\n\nUsage: saddlectl COMMAND [flags] [arguments]\n\n")
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, c := range commands() {
		_, _ = fmt.Fprintf(tw, "  %s\t%s\n", strings.TrimSpace(c.name+" "+c.args), c.summary)
	}
	_ = tw.Flush()
	_, _ = fmt.Fprint(w, "\nsaddlectl COMMAND -h shows the flags and an example.\n")
}

func commandHelp(w io.Writer, c command, fs *flag.FlagSet) {
	_, _ = fmt.Fprintf(w, "saddlectl %s: %s\n\nUsage: saddlectl %s\nExample: %s\n\nFlags:\n",
		c.name, c.summary, strings.TrimSpace(c.name+" [flags] "+c.args), c.example)
	fs.PrintDefaults()
}
