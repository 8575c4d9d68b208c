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

// envControls names the environment variable with the control addresses.
const envControls = "FIREFLYSADDLE_CONTROLS"

// session is what a command needs: the flags, the client and the output.
type session struct {
	out    io.Writer
	client *saddleclient.Client

	controls string
	tls      tlsFiles
	json     bool
	timeout  time.Duration

	request string
	wait    bool
	waitFor time.Duration
	base    uint64
	placing placing

	revision uint64

	template string
	set      parameters
	unset    []string

	filter       saddletimeline.Filter
	since        time.Duration
	adminKeyFile string
}

func newSession(out io.Writer) *session {
	return &session{out: out, set: parameters{}}
}

// register adds the flags that all commands have.
func (s *session) register(fs *flag.FlagSet) {
	fs.StringVar(&s.controls, "controls", os.Getenv(envControls), "control addresses IP:port, comma-separated; default $"+envControls)
	s.tls.register(fs)
	fs.BoolVar(&s.json, "json", false, "print JSON")
	fs.DurationVar(&s.timeout, "timeout", defaultTimeout, "longest time for control to answer")
}

// open checks the flags and returns the clean-up of the client.
func (s *session) open() (func(), error) {
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
