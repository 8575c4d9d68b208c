package saddlectl_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/command/saddlectl"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// changeReport is the JSON output of the commands that submit changes.
type changeReport struct {
	Changes []struct {
		Kind, Name, Request string
		Revision            uint64
		Resent              bool
	}
	Configuration uint64
}

// errorView is the JSON form of an error.
type errorView struct {
	Error   string
	Exit    int
	Code    string
	Request string
	InForce struct {
		Revision   uint64
		Parameters map[string]string
	} `json:"in_force"`
	NotConfirmed []string `json:"not_confirmed"`
}

func TestApplyIsIdempotent(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(t)
	file := filepath.Join(writeFiles(t, map[string]string{"meet.toml": template, "fleet.toml": fleetFile}), "fleet.toml")

	first := f.run(t, "apply", file, "-wait")
	is.Equal(first.code, saddlectl.ExitOK)
	is.True(strings.Contains(first.out, "in force on 1 of 1"))
	revision := f.revision()

	again := f.run(t, "apply", "-json", file, "-wait")
	is.Equal(again.code, saddlectl.ExitOK)
	view := decode[changeReport](t, again.out)
	is.Equal(len(view.Changes), 0)            // nothing was submitted
	is.Equal(view.Configuration, revision)    // waited for the configuration in force
	is.Equal(f.revision(), revision)          // nothing changed
	is.Equal(len(f.requests), 3)              // one template, two deployments
	is.Equal(f.run(t, "status").code, 0)      // the status command still succeeds
	is.True(strings.Contains(again.out, "{")) // JSON, no progress lines
}

func TestApplyDerivesARequestIDForEachChange(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(t)
	file := filepath.Join(writeFiles(t, map[string]string{"meet.toml": template, "fleet.toml": fleetFile}), "fleet.toml")
	is.Equal(f.run(t, "apply", file, "-request", "r1").code, saddlectl.ExitOK)
	is.Equal(f.requests, []string{"r1/template/meet", "r1/deployment/volos", "r1/deployment/larisa"})
	list := f.run(t, "deployment", "list")
	is.True(strings.Contains(list.out, "larisa")) // not treated as a resend of the previous change
}

func TestExitCodes(t *testing.T) {
	dir := writeFiles(t, map[string]string{
		"meet.toml":  template,
		"bad.toml":   strings.Replace(template, `"${weight}"`, `"${size}"`, 1),
		"fleet.toml": fleetFile,
		"twice.toml": fleetFile + "[[deployments]]\nworkspace = \"volos\"\ntemplate = \"meet\"\n",
		"typo.toml":  "templates = []\ndeploymnets = []\n",
	})
	meet := filepath.Join(dir, "meet.toml")
	tests := []struct {
		name     string
		setup    func(f *fakeControl)
		args     []string
		want     int
		wantText string
	}{
		{"a change that is accepted", nil, []string{"template", "submit", meet}, saddlectl.ExitOK, ""},
		{"help", nil, []string{"apply", "-h"}, saddlectl.ExitOK, "Example: saddlectl apply"},
		{"something that does not exist", nil, []string{"deployment", "show", "patras"}, saddlectl.ExitFailed, `"patras" does not exist`},
		{"a template that control lacks", nil, []string{"deployment", "submit", "volos", "-template", "none"}, saddlectl.ExitFailed, "not_found"},
		{"an unknown command", nil, []string{"aply"}, saddlectl.ExitUsage, `unknown command "aply`},
		{"an unknown flag", nil, []string{"status", "-target", "x"}, saddlectl.ExitUsage, "-target"},
		{"an argument too many", nil, []string{"status", "volos"}, saddlectl.ExitUsage, "takes no argument"},
		{"a file with an unknown key", nil, []string{"apply", filepath.Join(dir, "typo.toml")}, saddlectl.ExitUsage, "deploymnets"},
		{"a workspace twice in a file", nil, []string{"apply", filepath.Join(dir, "twice.toml")}, saddlectl.ExitUsage, `"volos" is listed twice`},
		{"a template with an undeclared parameter", nil, []string{"template", "submit", filepath.Join(dir, "bad.toml")}, saddlectl.ExitUsage, `"size"`},
		{"a parameter without a value", nil, []string{"deployment", "submit", "volos", "-template", "meet", "-set", "weight"}, saddlectl.ExitUsage, "NAME=VALUE"},
		{"a revision without a base", nil, []string{"template", "revise", meet}, saddlectl.ExitUsage, "-base"},
		{"every answer lost", func(f *fakeControl) { f.answersToLose = 1 << 20 }, []string{"template", "submit", meet, "-timeout", "300ms"}, saddlectl.ExitUnknown, "same request id"},
		{"nobody confirms", func(f *fakeControl) { f.lagging = true }, []string{"template", "submit", meet, "-wait", "-wait-for", "300ms"}, saddlectl.ExitTimeout, "entry-1"},
		{"no majority", func(f *fakeControl) { f.leaderless = true }, []string{"template", "submit", meet, "-timeout", "300ms"}, saddlectl.ExitUnavailable, "no_majority"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeControl(t)
			if tt.setup != nil {
				f.update(func() { tt.setup(f) })
			}
			got := f.run(t, tt.args...)
			is.Equal(got.code, tt.want)
			is.True(strings.Contains(got.errOut+got.out, tt.wantText)) // the message names the cause
		})
	}
}

func TestConflictShowsTheRevisionInForce(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(t)
	is.Equal(f.run(t, "template", "submit", filepath.Join(writeFiles(t, map[string]string{"meet.toml": template}), "meet.toml")).code, 0)
	is.Equal(f.run(t, "deployment", "submit", "volos", "-template", "meet", "-set", "weight=2").code, 0)

	is.Equal(f.run(t, "deployment", "revise", "volos", "-base", "1", "-set", "weight=3").code, saddlectl.ExitOK)
	conflict := f.run(t, "deployment", "revise", "volos", "-base", "1", "-set", "weight=4", "-json")
	is.Equal(conflict.code, saddlectl.ExitConflict)
	view := decode[errorView](t, conflict.errOut)
	is.Equal(view.Code, "revision_conflict")
	is.Equal(view.InForce.Revision, uint64(2))
	is.Equal(view.InForce.Parameters["weight"], "3") // the accepted value, not the refused one

	text := f.run(t, "deployment", "submit", "volos", "-template", "meet")
	is.Equal(text.code, saddlectl.ExitConflict)
	is.True(strings.Contains(text.errOut, `weight="3"`))
}

func TestLostAnswerIsResentUnderTheSameRequestID(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(t)
	meet := filepath.Join(writeFiles(t, map[string]string{"meet.toml": template}), "meet.toml")
	f.update(func() { f.answersToLose = 2 })
	got := f.run(t, "template", "submit", meet, "-json")
	is.Equal(got.code, saddlectl.ExitOK)
	view := decode[changeReport](t, got.out)
	is.True(view.Changes[0].Resent)                  // reports that an answer was lost
	is.Equal(view.Changes[0].Revision, uint64(1))    // the result of the first submission
	is.Equal(len(f.requests), 3)                     // two answers lost, one received
	is.Equal(f.requests[0], f.requests[2])           // all three with the same request id
	is.Equal(view.Changes[0].Request, f.requests[0]) // the output contains the request id

	f.update(func() { f.answersToLose = 1 << 20 })
	unknown := f.run(t, "drain", "mastori-1", "-timeout", "300ms", "-json")
	is.Equal(unknown.code, saddlectl.ExitUnknown)
	request := decode[errorView](t, unknown.errOut).Request
	f.update(func() { f.answersToLose = 0 })
	again := f.run(t, "drain", "mastori-1", "-request", request, "-json")
	is.Equal(again.code, saddlectl.ExitOK)
	is.Equal(decode[changeReport](t, again.out).Changes[0].Revision, uint64(1)) // the command was executed once
}

func TestEveryControlAddressIsTried(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	dead := lis.Addr().String()
	is.NoErr(lis.Close())
	got := run(t, "status", "-controls", dead+","+f.address)
	is.Equal(got.code, saddlectl.ExitOK)
}

func TestStatusListsUnconfirmedMembers(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(t)
	is.Equal(f.run(t, "drain", "mastori-1").code, 0)
	f.update(func() {
		f.lagging = true
		since := time.Date(2026, 5, 1, 10, 0, 0, 0, time.UTC)
		f.members = []*saddlewire.Member{
			{Node: "entry-1", Revision: 1, Confirmed: true},
			{Node: "entry-2", Revision: 0, SinceNs: since.UnixNano(), Confirmed: true},
			{Node: "entry-3", Revision: 1},
		}
		f.replicas = []*saddlewire.Replica{{Id: "control-9"}}
	})
	got := f.run(t, "status")
	is.Equal(got.code, saddlectl.ExitOK)
	for _, want := range []string{
		"configuration 1 accepted", "in force on 2 of 3",
		"not confirmed: entry-2, at 0 since 2026-05-01T10:00:00Z",
		"unconfirmed view: entry-3", "control replica not heard: control-9",
	} {
		is.True(strings.Contains(got.out, want))
	}
}

func TestDiffSubmitsNothing(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(t)
	dir := writeFiles(t, map[string]string{"meet.toml": template, "next.toml": strings.Replace(template, "30s", "45s", 1)})
	is.Equal(f.run(t, "template", "submit", filepath.Join(dir, "meet.toml")).code, 0)
	is.Equal(f.run(t, "deployment", "submit", "volos", "-template", "meet").code, 0)
	submitted := len(f.requests)

	got := f.run(t, "template", "diff", filepath.Join(dir, "next.toml"))
	is.Equal(got.out, "template meet, compared with revision 1\n- timeout = \"30s\"\n+ timeout = \"45s\"\n")
	got = f.run(t, "deployment", "diff", "volos", "-set", "weight=7")
	is.Equal(got.out, "deployment volos, compared with revision 1\n- weight = 1\n+ parameter weight = \"7\"\n+ weight = 7\n")
	got = f.run(t, "deployment", "diff", "volos", "-set", "weight=700")
	is.Equal(got.code, saddlectl.ExitUsage) // refused by the template
	is.Equal(len(f.requests), submitted)
}

func TestTimelineListsUnreachableProcesses(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(t)
	admin := func(events string) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Authorization") != "Bearer admin-key" {
				w.WriteHeader(http.StatusUnauthorized)
				return
			}
			_, _ = fmt.Fprint(w, events)
		}))
		t.Cleanup(srv.Close)
		return strings.TrimPrefix(srv.URL, "http://")
	}
	entry := admin(`[{"wall_ns":1,"node":"entry-1","name":"draft_received","request":"r1","subject":"volos"},
		{"wall_ns":2,"node":"entry-1","name":"draft_received","request":"r2","subject":"larisa"}]`)
	agent := admin(`[{"wall_ns":3,"node":"agent-1","name":"draft_start","request":"r1","attempt":1,"target":"mastori-1"}]`)
	f.update(func() {
		f.members = []*saddlewire.Member{
			{Node: "agent-1", Admin: agent}, {Node: "entry-1", Admin: entry}, {Node: "gone-1", Admin: "127.0.0.1:1"},
		}
		f.replicas = []*saddlewire.Replica{{Id: "control-1"}}
	})
	key := filepath.Join(writeFiles(t, map[string]string{"key": "admin-key\n"}), "key")

	got := f.run(t, "timeline", "-workspace", "volos", "-admin-key-file", key)
	is.Equal(got.code, saddlectl.ExitOK)
	received := strings.Index(got.out, "draft_received")
	started := strings.Index(got.out, "draft_start")
	is.True(received >= 0 && started > received)    // the agent's event is included by its request id
	is.True(!strings.Contains(got.out, "r2"))       // another workspace's request is left out
	is.True(strings.Contains(got.out, "gone-1"))    // its admin listener could not be reached
	is.True(strings.Contains(got.out, "control-1")) // a control replica missing from the member list
	is.True(strings.Contains(got.out, "attempt=1")) // the attempt is shown
	recent := f.run(t, "timeline", "-since", "1h", "-json", "-admin-key-file", key)
	is.Equal(len(decode[struct{ Events []any }](t, recent.out).Events), 0) // all events are older
	refused := f.run(t, "timeline")
	is.True(strings.Contains(refused.out, "entry-1: status 401"))
}

func TestHelpShowsAnExampleOfEachCommand(t *testing.T) {
	is := is.New(t)
	help := run(t, "help").out
	for line := range strings.SplitSeq(help, "\n") {
		_, example, ok := strings.Cut(line, "saddlectl ")
		if !ok || !strings.HasPrefix(line, "  ") {
			continue
		}
		got := run(t, append(strings.Fields(example), "-h")...)
		is.Equal(got.code, saddlectl.ExitOK) // every flag of the example exists
	}
	is.True(strings.Count(help, "  saddlectl ") >= 15)
}

func TestHistoryShowsEachRevisionAndItsRequest(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(t)
	dir := writeFiles(t, map[string]string{"meet.toml": template, "next.toml": strings.Replace(template, "30s", "45s", 1)})
	is.Equal(f.run(t, "template", "submit", filepath.Join(dir, "meet.toml")).code, 0)
	is.Equal(f.run(t, "deployment", "submit", "volos", "-template", "meet", "-request", "r1").code, 0)
	is.Equal(f.run(t, "deployment", "revise", "volos", "-base", "1", "-set", "weight=3", "-request", "r2").code, 0)
	is.Equal(f.run(t, "deployment", "revise", "volos", "-base", "1", "-set", "weight=4").code, saddlectl.ExitConflict)
	is.Equal(f.run(t, "template", "revise", filepath.Join(dir, "next.toml"), "-base", "1", "-request", "r3").code, 0)

	type row struct {
		Revision         uint64
		Request          string
		TemplateRevision uint64 `json:"template_revision"`
		Parameters       map[string]string
	}
	rows := decode[[]row](t, f.run(t, "deployment", "history", "volos", "-json").out)
	is.Equal(rows, []row{
		{Revision: 1, Request: "r1", TemplateRevision: 1},
		{Revision: 2, Request: "r2", TemplateRevision: 1, Parameters: map[string]string{"weight": "3"}},
		{Revision: 3, Request: "r3", TemplateRevision: 2, Parameters: map[string]string{"weight": "3"}}, // created by the new template revision
	})
	old := f.run(t, "template", "show", "meet", "-revision", "1")
	is.True(strings.Contains(old.out, "30s"))
	is.Equal(f.run(t, "template", "show", "meet", "-revision", "9").code, saddlectl.ExitFailed)
}

// An operator sees which processes of a role use other settings than most, and since when.
func TestStatusShowsSettingsThatDiffer(t *testing.T) {
	is := is.New(t)
	f := newFakeControl(t)
	f.update(func() {
		f.members = []*saddlewire.Member{
			{Node: "front-a-1", Role: "entry", Settings: "aa11", SettingsNs: 1_800_000_000e9},
			{Node: "front-b-1", Role: "entry", Settings: "bb22", SettingsNs: 1_800_000_060e9},
			{Node: "front-b-2", Role: "entry", Settings: "aa11", SettingsNs: 1_800_000_000e9},
			{Node: "front-c-1", Role: "entry"},
			{Node: "control-1", Role: "control", Settings: "cc33"},
		}
	})
	got := f.run(t, "status")
	is.Equal(got.code, saddlectl.ExitOK)
	for _, line := range []string{
		"settings of role control: cc33 on 1 of 1\n",
		"settings of role entry: aa11 on 2 of 4\n",
		"  bb22 since 2027-01-15T08:01:00Z front-b-1\n",
		"  not reported front-c-1\n",
	} {
		is.True(strings.Contains(got.out, line))
	}
	view := f.run(t, "status", "-json")
	is.True(strings.Contains(view.out, `"digest": "bb22"`) || strings.Contains(view.out, `"digest":"bb22"`))
}
