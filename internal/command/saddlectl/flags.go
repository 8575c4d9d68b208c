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
	defaultWaitTimeout = 30 * time.Second
	defaultTimeout     = 10 * time.Second
	minTimeout         = 100 * time.Millisecond
)

// parameters is the flag.Value of -set NAME=VALUE.
type parameters map[string]string

// String returns the parameters as NAME=VALUE, sorted by name.
func (p parameters) String() string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(p)) {
		out = append(out, name+"="+p[name])
	}
	return strings.Join(out, " ")
}

// Set adds one NAME=VALUE. It refuses a name that is already set.
func (p parameters) Set(text string) error {
	name, value, ok := strings.Cut(text, "=")
	if !ok || name == "" {
		return fmt.Errorf("%q is not NAME=VALUE", text)
	}
	if _, duplicate := p[name]; duplicate {
		return fmt.Errorf("parameter %q is set twice", name)
	}
	p[name] = value
	return nil
}

// changeFlags adds the flags of the commands that submit a change.
func changeFlags(s *session, fs *flag.FlagSet) {
	fs.StringVar(&s.requestID, "request", "", "request id; give the same id to resend a change")
	fs.BoolVar(&s.wait, "wait", false, "wait until the change is in force everywhere")
	fs.DurationVar(&s.waitTimeout, "wait-for", defaultWaitTimeout, "longest time to wait with -wait")
}

func templateShowFlags(s *session, fs *flag.FlagSet) {
	fs.Uint64Var(&s.revision, "revision", 0, "revision to show; 0 shows the one in force")
}

func reviseFlags(s *session, fs *flag.FlagSet) {
	changeFlags(s, fs)
	fs.Uint64Var(&s.base, "base", 0, "revision on which the change is based; the change is refused if another revision is in force")
}

func deploymentDiffFlags(s *session, fs *flag.FlagSet) {
	fs.StringVar(&s.template, "template", "", "template; default the current one")
	fs.Var(s.setParameters, "set", "parameter as NAME=VALUE, repeatable; other parameters keep their values")
	fs.Func("unset", "parameter to remove, repeatable", func(name string) error {
		s.unsetParameters = append(s.unsetParameters, name)
		return nil
	})
}

func deploymentFlags(s *session, fs *flag.FlagSet) {
	changeFlags(s, fs)
	fs.StringVar(&s.template, "template", "", "template to render")
	fs.Var(s.setParameters, "set", "parameter as NAME=VALUE, repeatable")
}

func deploymentReviseFlags(s *session, fs *flag.FlagSet) {
	reviseFlags(s, fs)
	deploymentDiffFlags(s, fs)
}

func timelineFlags(s *session, fs *flag.FlagSet) {
	fs.StringVar(&s.filter.Request, "request", "", "only requests whose id starts with this prefix")
	fs.StringVar(&s.filter.Target, "target", "", "only this target")
	fs.StringVar(&s.filter.Workspace, "workspace", "", "only this workspace and its requests")
	fs.DurationVar(&s.since, "since", 0, "only events of the last period, such as 10m; 0 shows all that are retained")
	fs.StringVar(&s.adminKeyFile, "admin-key-file", "", "file with the key of the admin listeners")
}
