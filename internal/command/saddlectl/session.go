package saddlectl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// envControls is the environment variable that holds the control addresses.
const envControls = "FIREFLYSADDLE_CONTROLS"

// session holds the flags, the control client and the output of one command.
type session struct {
	out    io.Writer
	client *saddleclient.Client

	// Flags of all commands.
	controls string
	tls      tlsFiles
	json     bool
	timeout  time.Duration

	// Flags of the commands that submit a change.
	requestID   string
	wait        bool
	waitTimeout time.Duration
	base        uint64 // revision on which the change is based
	placement   placementFlags

	// Flag of template show.
	revision uint64

	// Flags of the deployment commands.
	template        string
	setParameters   parameters
	unsetParameters []string

	// Flags of timeline.
	filter       saddletimeline.Filter
	since        time.Duration
	adminKeyFile string
}

func newSession(out io.Writer) *session {
	return &session{out: out, setParameters: parameters{}}
}

// registerFlags adds the flags that all commands share.
func (s *session) registerFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.controls, "controls", os.Getenv(envControls), "control addresses IP:port, comma-separated; default $"+envControls)
	s.tls.registerFlags(fs)
	fs.BoolVar(&s.json, "json", false, "print JSON")
	fs.DurationVar(&s.timeout, "timeout", defaultTimeout, "longest time for control to answer")
}

// openClient validates the shared flags, creates the client and returns its cleanup.
func (s *session) openClient() (func(), error) {
	var addresses []string
	for a := range strings.SplitSeq(s.controls, ",") {
		if a = strings.TrimSpace(a); a == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(a); err != nil {
			return nil, &usageError{reason: fmt.Sprintf("control address %q is not IP:port", a)}
		}
		addresses = append(addresses, a)
	}
	if len(addresses) == 0 {
		return nil, &usageError{reason: "no control address: give -controls or set " + envControls}
	}
	if s.timeout < minTimeout {
		return nil, &usageError{reason: fmt.Sprintf("-timeout must be at least %s", minTimeout)}
	}
	network, err := s.tls.network()
	if err != nil {
		return nil, err
	}
	client, cleanup := saddleclient.NewWithNetwork(network, addresses, nil)
	s.client = client
	return func() { _ = cleanup() }, nil
}

func (s *session) read(ctx context.Context) (*saddlewire.ReadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.client.Read(ctx)
}

// print writes the value as JSON if -json is set, and otherwise calls text.
func (s *session) print(value any, text func(io.Writer)) error {
	if !s.json {
		text(s.out)
		return nil
	}
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

func (s *session) printProgress(format string, args ...any) {
	if !s.json {
		_, _ = fmt.Fprintf(s.out, format+"\n", args...)
	}
}
