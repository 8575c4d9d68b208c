// Command saddleverdict runs the README's test command and fails unless every test
// that fails is listed in KNOWN-RED.txt, which it prints.
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
	listName   = "KNOWN-RED.txt"
	listFields = 5
)

// testCommand is the README's test command, with its output as JSON.
var testCommand = []string{"go", "test", "-json", "-race", "-count=1", "./..."}

// event is one line of go test -json.
type event struct {
	Action     string
	Package    string
	Test       string
	Output     string
	ImportPath string
}

// name identifies a test of a package; the test is empty for the package.
type name struct {
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
	known, err := readList(listName)
	if err != nil {
		return err
	}
	r := newResults(known)
	testErr := r.run(ctx)
	r.print()
	if len(r.unknown) > 0 || r.passed == 0 {
		return fmt.Errorf("%d tests passed, %d failed that are not in %s", r.passed, len(r.unknown), listName)
	}
	var exit *exec.ExitError
	if testErr != nil && (!errors.As(testErr, &exit) || len(r.red) == 0) {
		return fmt.Errorf("run tests: %w", testErr)
	}
	return nil
}

// readList reads the known failures; each line needs all its fields.
func readList(file string) (map[name]string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	known := map[name]string{}
	for i, line := range strings.Split(string(text), "\n") {
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "\t")
		if len(fields) != listFields {
			return nil, fmt.Errorf("%s:%d: %d fields, expected %d", file, i+1, len(fields), listFields)
		}
		known[name{pkg: fields[0], test: fields[1]}] = line
	}
	return known, nil
}

// results gathers what the tests did.
type results struct {
	known   map[name]string
	output  map[name][]string
	passed  int
	skipped int
	red     []name // failed and known
	unknown []name // failed and not known
}

func newResults(known map[name]string) *results {
	return &results{known: known, output: map[name][]string{}}
}

func (r *results) run(ctx context.Context) error {
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
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			fmt.Println(lines.Text())
			continue
		}
		r.take(e)
	}
	return errors.Join(lines.Err(), cmd.Wait())
}

func (r *results) take(e event) {
	n := name{pkg: e.Package, test: e.Test}
	switch e.Action {
	case "output", "build-output":
		if e.ImportPath != "" {
			fmt.Print(e.Output)
			return
		}
		r.output[n] = append(r.output[n], e.Output)
	case "pass":
		r.pass(n)
	case "skip":
		if n.test != "" {
			r.skipped++
		}
	case "fail":
		r.fail(n)
	}
}

func (r *results) pass(n name) {
	delete(r.output, n)
	if n.test == "" {
		fmt.Println("ok  ", n.pkg)
		return
	}
	r.passed++
}

// fail notes a failure. A package fails with its tests and a test with its
// subtests: where one of those is known, it is not a failure of its own.
func (r *results) fail(n name) {
	if _, ok := r.known[n]; ok {
		r.red = append(r.red, n)
		return
	}
	if r.explained(n) {
		return
	}
	r.unknown = append(r.unknown, n)
	fmt.Printf("FAIL %s %s\n%s", n.pkg, n.test, strings.Join(r.output[n], ""))
}

func (r *results) explained(n name) bool {
	inside := func(o name) bool {
		return o.pkg == n.pkg && (n.test == "" || strings.HasPrefix(o.test, n.test+"/"))
	}
	for _, o := range r.unknown {
		if inside(o) {
			return true
		}
	}
	for _, o := range r.red {
		if inside(o) {
			return true
		}
	}
	return false
}

func (r *results) print() {
	for _, n := range r.red {
		fmt.Println("KNOWN RED:", r.known[n])
	}
	for n, line := range r.known {
		if !r.failed(n) {
			fmt.Println("KNOWN RED that did not fail, take it off the list:", line)
		}
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, len(r.unknown), r.skipped)
	if len(r.red) > 0 {
		fmt.Printf("and %d failed that are known\n", len(r.red))
	}
}

func (r *results) failed(n name) bool {
	for _, o := range r.red {
		if o == n {
			return true
		}
	}
	return false
}
