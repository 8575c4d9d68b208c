package saddlemain

import (
	"context"
	"flag"
	"fmt"
	"io"
	"runtime/debug"
	"text/tabwriter"

	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/daemon/saddledaemon"
	"github.com/fireflysaddle/fireflysaddle/internal/demo/saddledemo"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddlelog"
)

// Exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2 // the command line or the settings are invalid
)

// command describes one fireflysaddle command.
type command struct {
	name    string
	args    string
	summary string
	run     func(ctx context.Context, args []string, out, errOut io.Writer) int
}

func commands() []command {
	return []command{
		{"entry", "-settings FILE [-node NODE] [-ip IP]", "serve callers' requests", runEntry},
		{"gateway", "-settings FILE [-node NODE] [-ip IP]", "serve callers' requests with targets that have no agents", runGateway},
		{"agent", "-settings FILE [-node NODE] [-ip IP]", "run the agent of a target", runAgent},
		{"control", "-settings FILE [-node NODE] [-ip IP]", "run a control replica, which stores the configuration and the claims", runControl},
		{"check", "[-node NODE] [-ip IP] ROLE FILE...", "check settings files", runCheck},
		{"demo", "[-hold]", "run everything on this machine, with stand-ins", runDemo},
		{"version", "", "print the version", runVersion},
	}
}

// Run runs a command line and returns the exit code. The context ends when the
// process receives a stop signal.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		printHelp(out)
		return ExitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(ctx, args[1:], out, errOut)
		}
	}
	_, _ = fmt.Fprintf(errOut, "fireflysaddle: unknown command %q; see fireflysaddle help\n", args[0])
	return ExitSettings
}

func printHelp(w io.Writer) {
	_, _ = fmt.Fprint(w, "fireflysaddle routes requests to model pipelines and plain services.\n\nUsage: fireflysaddle COMMAND [arguments]\n\n")
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, c := range commands() {
		_, _ = fmt.Fprintf(tw, "  %s %s\t%s\n", c.name, c.args, c.summary)
	}
	_ = tw.Flush()
}

// roleRunner runs a role until the context ends. After each reload of the
// settings file, reloads delivers the new settings.
type roleRunner[S any] func(ctx context.Context, settings S, logs io.Writer, reloads <-chan S) error

// withoutReload returns a runner for a role that applies new settings only after a
// restart.
func withoutReload[S any](run func(context.Context, S, io.Writer) error) roleRunner[S] {
	return func(ctx context.Context, settings S, logs io.Writer, _ <-chan S) error {
		return run(ctx, settings, logs)
	}
}

// runDaemon loads a role's settings and runs the role until the context ends. The role
// logs to out; SIGHUP reloads the settings file.
func runDaemon[S any](ctx context.Context, role string, args []string, out, errOut io.Writer, load func(string, saddlesettings.Overrides) (S, error), run roleRunner[S]) int {
	fs := flag.NewFlagSet(role, flag.ContinueOnError)
	fs.SetOutput(errOut)
	file := fs.String("settings", "", "settings file")
	overrides := addOverrideFlags(fs)
	if err := fs.Parse(args); err != nil {
		return ExitSettings
	}
	settings, err := load(*file, *overrides)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitSettings
	}
	logs, flush := saddlelog.New(out)
	defer func() { _ = flush() }()
	reloads := make(chan S, 1)
	stop := watchReloadSignal(logs, func() error {
		next, err := load(*file, *overrides)
		if err != nil {
			return err
		}
		select {
		case <-reloads: // superseded before the role received them
		default:
		}
		reloads <- next // does not block: this goroutine is the only sender
		return nil
	})
	defer stop()
	if err := run(ctx, settings, logs, reloads); err != nil {
		_, _ = fmt.Fprintf(errOut, "fireflysaddle %s: %v\n", role, err)
		return ExitFailed
	}
	return ExitOK
}

func runEntry(ctx context.Context, args []string, out, errOut io.Writer) int {
	return runDaemon(ctx, "entry", args, out, errOut, saddlesettings.LoadEntry, withoutReload(saddledaemon.RunEntry))
}

func runGateway(ctx context.Context, args []string, out, errOut io.Writer) int {
	return runDaemon(ctx, "gateway", args, out, errOut, saddlesettings.LoadGateway, saddledaemon.RunGateway)
}

func runAgent(ctx context.Context, args []string, out, errOut io.Writer) int {
	return runDaemon(ctx, "agent", args, out, errOut, saddlesettings.LoadAgent, withoutReload(saddledaemon.RunAgent))
}

func runControl(ctx context.Context, args []string, out, errOut io.Writer) int {
	return runDaemon(ctx, "control", args, out, errOut, saddlesettings.LoadControl, withoutReload(saddledaemon.RunControl))
}

// addOverrideFlags adds the flags that override the node name and the IP, so that several
// processes can share a settings file.
func addOverrideFlags(fs *flag.FlagSet) *saddlesettings.Overrides {
	var overrides saddlesettings.Overrides
	fs.StringVar(&overrides.Node, "node", "", "name of this process; overrides the value in the settings file")
	fs.StringVar(&overrides.IP, "ip", "", "IP of this process's listeners; overrides the value in the settings file")
	return &overrides
}

// runCheck validates settings files. It prints the errors of every file, not only of the
// first invalid one.
func runCheck(_ context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("check", flag.ContinueOnError)
	fs.SetOutput(errOut)
	overrides := addOverrideFlags(fs)
	if err := fs.Parse(args); err != nil {
		return ExitSettings
	}
	if fs.NArg() < 2 {
		_, _ = fmt.Fprintln(errOut, "fireflysaddle check: a role and at least one settings file are required")
		return ExitSettings
	}
	code := ExitOK
	for _, file := range fs.Args()[1:] {
		if err := checkFile(fs.Arg(0), file, *overrides); err != nil {
			_, _ = fmt.Fprintln(errOut, err)
			code = ExitSettings
			continue
		}
		_, _ = fmt.Fprintf(out, "%s: valid\n", file)
	}
	return code
}

func checkFile(role, file string, overrides saddlesettings.Overrides) error {
	var err error
	switch role {
	case "entry":
		_, err = saddlesettings.LoadEntry(file, overrides)
	case "gateway":
		_, err = saddlesettings.LoadGateway(file, overrides)
	case "agent":
		_, err = saddlesettings.LoadAgent(file, overrides)
	case "control":
		_, err = saddlesettings.LoadControl(file, overrides)
	default:
		err = fmt.Errorf("role %q must be entry, gateway, agent or control", role)
	}
	return err
}

func runDemo(ctx context.Context, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("demo", flag.ContinueOnError)
	fs.SetOutput(errOut)
	hold := fs.Bool("hold", false, "keep running until interrupted and print commands to try")
	if err := fs.Parse(args); err != nil {
		return ExitSettings
	}
	if err := saddledemo.Run(ctx, out, errOut, *hold); err != nil {
		_, _ = fmt.Fprintf(errOut, "fireflysaddle demo: %v\n", err)
		return ExitFailed
	}
	return ExitOK
}

func runVersion(_ context.Context, _ []string, out, _ io.Writer) int {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	_, _ = fmt.Fprintln(out, "fireflysaddle", version)
	return ExitOK
}
