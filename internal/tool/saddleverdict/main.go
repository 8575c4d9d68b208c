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
	"strings"
	"syscall"
)

const (
	knownFailuresFile  = "KNOWN-RED.txt"
	knownFailureFields = 5
)

// testCommand is the test command of the README with JSON output.
var testCommand = []string{"go", "test", "-json", "-race", "-count=1", "./..."}

// testEvent is one line of the output of go test -json.
type testEvent struct {
	Action     string
	Package    string
	Test       string
	Output     string
	ImportPath string
}

// testID identifies a test; the test name is empty for the package as a whole.
type testID struct {
	pkg  string
	test string
}

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
	knownFailures, err := readKnownFailures(knownFailuresFile)
	if err != nil {
		return err
	}
	r := newResults(knownFailures)
	testErr := r.runTests(ctx)
	r.printSummary()
	if len(r.unknownFailed) > 0 || r.passed == 0 {
		return fmt.Errorf("%d tests passed, %d failed that are not in %s", r.passed, len(r.unknownFailed), knownFailuresFile)
	}
	var exit *exec.ExitError
	if testErr != nil && (!errors.As(testErr, &exit) || len(r.knownFailed) == 0) {
		return fmt.Errorf("run tests: %w", testErr)
	}
	return nil
}

// readKnownFailures returns the lines of the list of known failures by test. A line with
// missing or extra fields is an error.
func readKnownFailures(file string) (map[testID]string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	known := map[testID]string{}
	for i, line := range strings.Split(string(text), "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "\t")
		if len(fields) != knownFailureFields {
			return nil, fmt.Errorf("%s:%d: %d fields, expected %d", file, i+1, len(fields), knownFailureFields)
		}
		known[testID{pkg: fields[0], test: fields[1]}] = line
	}
	return known, nil
}

// results collects the outcomes of the tests.
type results struct {
	knownFailures map[testID]string   // lines of the list of known failures
	output        map[testID][]string // output of tests and packages that have not passed
	passed        int
	skipped       int
	knownFailed   []testID // listed as known failures
	unknownFailed []testID // not listed as known failures
}

func newResults(knownFailures map[testID]string) *results {
	return &results{knownFailures: knownFailures, output: map[testID][]string{}}
}

func (r *results) runTests(ctx context.Context) error {
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
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e testEvent
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			fmt.Println(lines.Text())
			continue
		}
		r.handleEvent(e)
	}
	return errors.Join(lines.Err(), cmd.Wait())
}

func (r *results) handleEvent(e testEvent) {
	id := testID{pkg: e.Package, test: e.Test}
	switch e.Action {
	case "output", "build-output":
		if e.ImportPath != "" {
			fmt.Print(e.Output)
			return
		}
		r.output[id] = append(r.output[id], e.Output)
	case "pass":
		r.recordPass(id)
	case "skip":
		if id.test != "" {
			r.skipped++
		}
	case "fail":
		r.recordFailure(id)
	}
}

func (r *results) recordPass(id testID) {
	delete(r.output, id)
	if id.test == "" {
		fmt.Println("ok  ", id.pkg)
		return
	}
	r.passed++
}

// recordFailure records a failed test or package. A failed test also fails its parent
// test and its package, so a parent or package with a recorded failure below it does not
// count as a failure of its own.
func (r *results) recordFailure(id testID) {
	if _, ok := r.knownFailures[id]; ok {
		r.knownFailed = append(r.knownFailed, id)
		return
	}
	if r.hasFailedChild(id) {
		return
	}
	r.unknownFailed = append(r.unknownFailed, id)
	fmt.Printf("FAIL %s %s\n%s", id.pkg, id.test, strings.Join(r.output[id], ""))
}

func (r *results) hasFailedChild(id testID) bool {
	isChild := func(o testID) bool {
		return o.pkg == id.pkg && (id.test == "" || strings.HasPrefix(o.test, id.test+"/"))
	}
	for _, o := range r.unknownFailed {
		if isChild(o) {
			return true
		}
	}
	for _, o := range r.knownFailed {
		if isChild(o) {
			return true
		}
	}
	return false
}

func (r *results) printSummary() {
	for _, id := range r.knownFailed {
		fmt.Println("KNOWN RED:", r.knownFailures[id])
	}
	for id, line := range r.knownFailures {
		if !r.knownFailureSeen(id) {
			fmt.Println("KNOWN RED that did not fail; remove it from the list:", line)
		}
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, len(r.unknownFailed), r.skipped)
	if len(r.knownFailed) > 0 {
		fmt.Printf("and %d failed that are known\n", len(r.knownFailed))
	}
}

func (r *results) knownFailureSeen(id testID) bool {
	for _, o := range r.knownFailed {
		if o == id {
			return true
		}
	}
	return false
}
