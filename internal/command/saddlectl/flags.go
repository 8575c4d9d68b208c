package saddlectl

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	defaultWait    = 30 * time.Second
	defaultTimeout = 10 * time.Second
	minTimeout     = 100 * time.Millisecond
)

// parameters collects -set NAME=VALUE.
type parameters map[string]string

// String lists them.
func (p parameters) String() string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(p)) {
		out = append(out, name+"="+p[name])
	}
	return strings.Join(out, " ")
}

// Set takes one NAME=VALUE; a name may be set once.
func (p parameters) Set(text string) error {
	name, value, ok := strings.Cut(text, "=")
	if !ok || name == "" {
		return fmt.Errorf("%q is not NAME=VALUE", text)
	}
	if _, twice := p[name]; twice {
		return fmt.Errorf("parameter %q stands there twice", name)
	}
	p[name] = value
	return nil
}

// changeFlags are those of the commands that change something.
func changeFlags(s *session, fs *flag.FlagSet) {
	fs.StringVar(&s.request, "request", "", "request id; a resend of a change repeats it")
	fs.BoolVar(&s.wait, "wait", false, "wait until the change is in force everywhere")
	fs.DurationVar(&s.waitFor, "wait-for", defaultWait, "longest time to wait with -wait")
}

func showFlags(s *session, fs *flag.FlagSet) {
	fs.Uint64Var(&s.revision, "revision", 0, "an earlier revision; 0 is the one in force")
}

func reviseFlags(s *session, fs *flag.FlagSet) {
	changeFlags(s, fs)
	fs.Uint64Var(&s.base, "base", 0, "revision that was read; the change is refused when another is in force")
}

func deploymentDiffFlags(s *session, fs *flag.FlagSet) {
	fs.StringVar(&s.template, "template", "", "template; default the one in force")
	fs.Var(s.set, "set", "parameter as NAME=VALUE, once for each; those in force stay")
	fs.Func("unset", "parameter to give up, once for each", func(name string) error {
		s.unset = append(s.unset, name)
		return nil
	})
}

func deploymentFlags(s *session, fs *flag.FlagSet) {
	changeFlags(s, fs)
	fs.StringVar(&s.template, "template", "", "template to fill in")
	fs.Var(s.set, "set", "parameter as NAME=VALUE, once for each")
}

func deploymentReviseFlags(s *session, fs *flag.FlagSet) {
	reviseFlags(s, fs)
	deploymentDiffFlags(s, fs)
}

func timelineFlags(s *session, fs *flag.FlagSet) {
	fs.StringVar(&s.filter.Request, "request", "", "only this request, by the start of its id")
	fs.StringVar(&s.filter.Target, "target", "", "only this target")
	fs.StringVar(&s.filter.Workspace, "workspace", "", "only this workspace and its requests")
	fs.DurationVar(&s.since, "since", 0, "only the last while, such as 10m; 0 shows all that is kept")
	fs.StringVar(&s.adminKeyFile, "admin-key-file", "", "file with the key of the admin listeners")
}
