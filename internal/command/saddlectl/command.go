package saddlectl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// command describes one saddlectl command.
type command struct {
	name    string // one or two words
	args    string // positional arguments, as shown in the help text
	summary string
	example string
	flags   func(*session, *flag.FlagSet) // adds the command's own flags; may be nil
	run     func(ctx context.Context, s *session, args []string) error
}

// commands returns all commands in the order in which the help text lists them.
func commands() []command {
	return []command{
		{"apply", "FILE", "submit the templates and deployments of a file that differ from those in force", "saddlectl apply fleet.toml -wait", changeFlags, runApply},
		{"status", "", "show the accepted configuration and where it is in force", "saddlectl status -json", nil, runStatus},
		{"template list", "", "list the templates", "saddlectl template list", nil, runTemplateList},
		{"template show", "NAME", "print a template's text", "saddlectl template show meet -revision 2", templateShowFlags, runTemplateShow},
		{"template history", "NAME", "list the latest revisions of a template", "saddlectl template history meet", nil, runTemplateHistory},
		{"template diff", "FILE", "compare a file with the template in force", "saddlectl template diff meet.toml", nil, runTemplateDiff},
		{"template submit", "FILE", "create a template", "saddlectl template submit meet.toml", changeFlags, runTemplateSubmit},
		{"template revise", "FILE", "replace a template if the -base revision is still in force", "saddlectl template revise meet.toml -base 3 -wait", reviseFlags, runTemplateRevise},
		{"deployment list", "", "list the deployments", "saddlectl deployment list", nil, runDeploymentList},
		{"deployment show", "WORKSPACE", "show a deployment as rendered from its template", "saddlectl deployment show volos", nil, runDeploymentShow},
		{"deployment history", "WORKSPACE", "list the latest revisions of a deployment", "saddlectl deployment history volos -json", nil, runDeploymentHistory},
		{"deployment diff", "WORKSPACE", "show what new parameters would change", "saddlectl deployment diff volos -set weight=3", deploymentDiffFlags, runDeploymentDiff},
		{"deployment submit", "WORKSPACE", "create a deployment from a template", "saddlectl deployment submit volos -template meet -set weight=2", deploymentFlags, runDeploymentSubmit},
		{"deployment revise", "WORKSPACE", "change parameters if the -base revision is still in force", "saddlectl deployment revise volos -base 4 -set weight=3", deploymentReviseFlags, runDeploymentRevise},
		{"targets", "", "list the targets", "saddlectl targets", nil, runTargets},
		{"drain", "TARGET", "stop sending new requests to a target", "saddlectl drain mastori-07 -wait", changeFlags, runDrain},
		{"undrain", "TARGET", "send new requests to a target again", "saddlectl undrain mastori-07", changeFlags, runUndrain},
		{"placements", "", "list the models that engines should hold", "saddlectl placements", nil, runPlacements},
		{"place", "TARGET", "set the model that an engine should hold", "saddlectl place mastori-07 -group mastori -version 2 -wait", placeFlags, runPlace},
		{"control", "", "list the control replicas", "saddlectl control", nil, runControl},
		{"control-replace", "OLD NEW ADDRESS", "replace a control replica whose disk or VM is lost (- for none)", "saddlectl control-replace control-2 control-2b 10.1.2.11:7100 -wait", replaceFlags, runControlReplace},
		{"timeline", "", "merge the timelines of all processes", "saddlectl timeline -request 6f0c -since 10m", timelineFlags, runTimeline},
	}
}

// Run runs a command line and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		printHelp(out)
		return ExitOK
	}
	for words := min(len(args), maxNameWords); words > 0; words-- {
		name := strings.Join(args[:words], " ")
		for _, c := range commands() {
			if c.name == name {
				return runCommand(ctx, c, args[words:], out, errOut)
			}
		}
	}
	_, _ = fmt.Fprintf(errOut, "saddlectl: unknown command %q; see saddlectl help\n", strings.Join(args[:min(len(args), maxNameWords)], " "))
	return ExitUsage
}

const maxNameWords = 2 // words in a command's name

func runCommand(ctx context.Context, c command, args []string, out, errOut io.Writer) int {
	s := newSession(out)
	fs := flag.NewFlagSet(c.name, flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.Usage = func() { printCommandHelp(errOut, c, fs) }
	s.registerFlags(fs)
	if c.flags != nil {
		c.flags(s, fs)
	}
	positional, err := parseArguments(fs, args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case err != nil:
		return ExitUsage
	}
	if err = checkArguments(c, positional); err == nil {
		var cleanup func()
		if cleanup, err = s.openClient(); err == nil {
			defer cleanup()
			err = c.run(ctx, s, positional)
		}
	}
	if err != nil {
		s.printError(errOut, c.name, err)
	}
	return exitCode(err)
}

func checkArguments(c command, args []string) error {
	want := strings.Fields(c.args)
	if len(args) == len(want) {
		return nil
	}
	if len(want) == 0 {
		return &usageError{reason: fmt.Sprintf("takes no argument, got %q", args)}
	}
	return &usageError{reason: fmt.Sprintf("takes %s, got %q", c.args, args)}
}

// parseArguments returns the positional arguments. Flags may stand before, between
// and after them.
func parseArguments(fs *flag.FlagSet, args []string) ([]string, error) {
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

func printHelp(w io.Writer) {
	_, _ = fmt.Fprint(w, "saddlectl inspects and changes a fireflysaddle fleet.\n\nUsage: saddlectl COMMAND [flags] [arguments]\n\n")
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, c := range commands() {
		_, _ = fmt.Fprintf(tw, "  %s\t%s\t%s\n", strings.TrimSpace(c.name+" "+c.args), c.summary, c.example)
	}
	_ = tw.Flush()
	_, _ = fmt.Fprint(w, "\nExit codes:\n")
	for _, e := range exitDescriptions() {
		_, _ = fmt.Fprintf(w, "  %d  %s\n", e.code, e.meaning)
	}
	_, _ = fmt.Fprint(w, "\nsaddlectl COMMAND -h shows the flags.\n")
}

func printCommandHelp(w io.Writer, c command, fs *flag.FlagSet) {
	_, _ = fmt.Fprintf(w, "saddlectl %s: %s\n\nUsage: saddlectl %s\nExample: %s\n\nFlags:\n",
		c.name, c.summary, strings.TrimSpace(c.name+" [flags] "+c.args), c.example)
	fs.PrintDefaults()
}
