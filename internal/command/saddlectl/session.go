package saddlectl

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
)

// envControls names the environment variable with the control addresses.
const envControls = "FIREFLYSADDLE_CONTROLS"

const (
	defaultWait    = 30 * time.Second
	defaultTimeout = 10 * time.Second
)

// session is what a command needs: the flags, the client and the output.
type session struct {
	out    io.Writer
	client *saddleclient.Client

	controls string
	json     bool
	wait     bool
	waitFor  time.Duration
	timeout  time.Duration
	request  string
	target   string
}

func newSession(out io.Writer) *session {
	return &session{out: out}
}

func (s *session) register(fs *flag.FlagSet) {
	fs.StringVar(&s.controls, "controls", os.Getenv(envControls), "control addresses, comma-separated; default $"+envControls)
	fs.BoolVar(&s.json, "json", false, "print JSON")
	fs.BoolVar(&s.wait, "wait", false, "wait until the change is in force everywhere")
	fs.DurationVar(&s.waitFor, "wait-for", defaultWait, "longest time to wait with -wait")
	fs.DurationVar(&s.timeout, "timeout", defaultTimeout, "longest time for control to answer")
	fs.StringVar(&s.request, "request", "", "request id: to resend a change, or to show on the time line")
	fs.StringVar(&s.target, "target", "", "target to show on the time line")
}

// open checks the flags and returns the clean-up of the client.
func (s *session) open() (func(), error) {
	var addresses []string
	for a := range strings.SplitSeq(s.controls, ",") {
		if a = strings.TrimSpace(a); a != "" {
			addresses = append(addresses, a)
		}
	}
	if len(addresses) == 0 {
		return nil, &usageError{reason: "no control address: give -controls or set " + envControls}
	}
	client, cleanup := saddleclient.New(addresses, nil)
	s.client = client
	return func() { _ = cleanup() }, nil
}

// print writes a value as JSON with -json, else as text.
func (s *session) print(value any, text func(io.Writer)) error {
	if !s.json {
		text(s.out)
		return nil
	}
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

func (s *session) progress(format string, args ...any) {
	if !s.json {
		_, _ = fmt.Fprintf(s.out, format+"\n", args...)
	}
}

// rejectedError says that control refused a change.
type rejectedError struct {
	code     fireflysaddle.Code
	message  string
	revision uint64
}

func (e *rejectedError) Error() string {
	return fmt.Sprintf("refused: %s: %s", e.code, e.message)
}

// slowError says that an accepted change was not in force everywhere in time.
type slowError struct {
	revision uint64
	missing  []string
}

func (e *slowError) Error() string {
	return fmt.Sprintf("accepted as configuration %d, not yet confirmed by: %s", e.revision, strings.Join(e.missing, ", "))
}

func exitCode(err error) int {
	var usage *usageError
	var rejected *rejectedError
	var unknown *saddleclient.UnknownError
	var slow *slowError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &slow):
		return ExitTimeout
	case errors.As(err, &rejected) && rejected.code == fireflysaddle.CodeConflict:
		return ExitConflict
	}
	return ExitFailed
}
