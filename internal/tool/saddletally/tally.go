package saddletally

import (
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// Event is one line of the output of go test -json.
type Event struct {
	Action     string
	Package    string
	Test       string
	Output     string
	ImportPath string
}

// Tally collects the outcomes of the tests.
type Tally struct {
	out           io.Writer
	knownFailures map[TestID]string   // lines of the list of known failures
	output        map[TestID][]string // output of tests and packages that have not passed
	running       map[TestID]struct{} // tests that have started and not ended
	passed        int
	skipped       int
	knownFailed   []TestID // listed as known failures
	unknownFailed []TestID // not listed as known failures
}

// New returns a tally that writes the packages that pass and the failures that are not
// known to out.
func New(out io.Writer, knownFailures map[TestID]string) *Tally {
	return &Tally{out: out, knownFailures: knownFailures, output: map[TestID][]string{}, running: map[TestID]struct{}{}}
}

// Passed returns the number of tests that passed.
func (r *Tally) Passed() int { return r.passed }

// KnownFailed returns the tests that failed and are listed as known failures.
func (r *Tally) KnownFailed() []TestID { return r.knownFailed }

// UnknownFailed returns the tests and packages that failed otherwise.
func (r *Tally) UnknownFailed() []TestID { return r.unknownFailed }

// Handle takes in one event.
func (r *Tally) Handle(e Event) {
	id := TestID{Package: e.Package, Test: e.Test}
	switch e.Action {
	case "run":
		r.running[id] = struct{}{}
	case "output", "build-output":
		if e.ImportPath != "" {
			r.print(e.Output)
			return
		}
		r.output[id] = append(r.output[id], e.Output)
	case "pass":
		r.recordPass(id)
	case "skip":
		delete(r.running, id)
		if id.Test != "" {
			r.skipped++
		}
	case "fail":
		r.recordFailure(id)
	}
}

func (r *Tally) print(text string) { _, _ = io.WriteString(r.out, text) }

func (r *Tally) recordPass(id TestID) {
	delete(r.output, id)
	delete(r.running, id)
	if id.Test == "" {
		r.print("ok   " + id.Package + "\n")
		return
	}
	r.passed++
}

// recordFailure records a failed test or package. A failed test also fails its parent
// test and its package, so a parent or package with a recorded failure below it does not
// count as a failure of its own, unless the package failed for another reason as well.
func (r *Tally) recordFailure(id TestID) {
	delete(r.running, id)
	if _, ok := r.knownFailures[id]; ok {
		r.knownFailed = append(r.knownFailed, id)
		return
	}
	if r.hasFailedChild(id) && (id.Test != "" || !r.failedByItself(id)) {
		return
	}
	r.unknownFailed = append(r.unknownFailed, id)
	r.print(fmt.Sprintf("FAIL %s %s\n%s", id.Package, id.Test, strings.Join(r.output[id], "")))
}

// failedTestsOutput matches the lines that go test prints of a package in which nothing but
// tests failed.
var failedTestsOutput = regexp.MustCompile(`^(FAIL(\t.*)?|exit status 1|coverage: .*|testing: warning: .*|)\n?$`)

// failedByItself reports whether a package failed for another reason than its failed tests:
// its process ended while tests were running, with another exit status, or printed something
// of its own, such as a panic or a data race.
func (r *Tally) failedByItself(id TestID) bool {
	for t := range r.running {
		if t.Package == id.Package {
			return true
		}
	}
	return slices.ContainsFunc(r.output[id], func(line string) bool { return !failedTestsOutput.MatchString(line) })
}

func (r *Tally) hasFailedChild(id TestID) bool {
	isChild := func(o TestID) bool {
		return o.Package == id.Package && (id.Test == "" || strings.HasPrefix(o.Test, id.Test+"/"))
	}
	return slices.ContainsFunc(r.unknownFailed, isChild) || slices.ContainsFunc(r.knownFailed, isChild)
}

// PrintSummary prints the known failures and the counts.
func (r *Tally) PrintSummary() {
	for _, id := range r.knownFailed {
		r.print("KNOWN RED: " + r.knownFailures[id] + "\n")
	}
	lines := slices.Sorted(maps.Values(r.knownFailures))
	for _, id := range r.knownFailed {
		lines = slices.DeleteFunc(lines, func(line string) bool { return line == r.knownFailures[id] })
	}
	for _, line := range lines {
		r.print("KNOWN RED that did not fail; remove it from the list: " + line + "\n")
	}
	r.print(fmt.Sprintf("%d passed, %d failed, %d skipped\n", r.passed, len(r.unknownFailed), r.skipped))
	if len(r.knownFailed) > 0 {
		r.print(fmt.Sprintf("and %d failed that are known\n", len(r.knownFailed)))
	}
}
