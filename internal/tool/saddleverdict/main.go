// Command saddleverdict runs the test command of the README. It prints and tolerates the
// failures of tests that KNOWN-RED.txt lists. It exits with 1 if any other test or package
// fails, if no test passes or if the tests cannot be run.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"syscall"

	"github.com/fireflysaddle/fireflysaddle/internal/tool/saddletally"
)

const (
	knownFailuresFile = "KNOWN-RED.txt"
	maxLineBytes      = 16 << 20 // longest line of the tests' output
)

// testCommand is the test command of the README with JSON output.
var testCommand = []string{"go", "test", "-json", "-race", "-count=1", "./..."}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "saddleverdict:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	knownFailures, err := saddletally.ReadKnownFailures(knownFailuresFile)
	if err != nil {
		return err
	}
	tally := saddletally.New(os.Stdout, knownFailures)
	testErr := runTests(ctx, tally)
	tally.PrintSummary()
	if len(tally.UnknownFailed()) > 0 || tally.Passed() == 0 {
		return fmt.Errorf("%d tests passed, %d failed that are not in %s", tally.Passed(), len(tally.UnknownFailed()), knownFailuresFile)
	}
	var exit *exec.ExitError
	if testErr != nil && (!errors.As(testErr, &exit) || len(tally.KnownFailed()) == 0) {
		return fmt.Errorf("run tests: %w", testErr)
	}
	return nil
}

func runTests(ctx context.Context, tally *saddletally.Tally) error {
	cmd := exec.CommandContext(ctx, testCommand[0], testCommand[1:]...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var e saddletally.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			fmt.Println(lines.Text())
			continue
		}
		tally.Handle(e)
	}
	return errors.Join(lines.Err(), cmd.Wait())
}
