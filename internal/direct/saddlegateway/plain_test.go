package saddlegateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
)

type step func(f fireflysaddle.Forward) (*fireflysaddle.Reply, error)

func answers(steps ...step) func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	return func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		return steps[min(n, len(steps))-1](f)
	}
}

func ok(fireflysaddle.Forward) (*fireflysaddle.Reply, error) { return whole("done"), nil }
func full(f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	return notRun(f.Address), nil
}

func unreachable(f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	return nil, &fireflysaddle.NotSentError{Address: f.Address, Err: errReset}
}

func lost(f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	return nil, &fireflysaddle.TargetError{Target: f.Target, Err: errReset}
}

func failure(fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	return reply(http.StatusInternalServerError, strings.NewReader("failed")), nil
}
func torn(fireflysaddle.Forward) (*fireflysaddle.Reply, error) { return broken("do"), nil }

// Each fault of a target against each kind of request: what may not be repeated
// runs at most once, and "not run" is said only of what did not run.
func TestFaultsOfPlainTargets(t *testing.T) {
	type want struct {
		status  int
		outcome saddlegateway.Outcome
		sends   int
		ran     int
	}
	const refused = 0 // status: an answer of the gateway
	for _, c := range []struct {
		name  string
		path  string
		steps []step
		want  want
	}{
		{"filing, answered", "/file/", []step{ok}, want{200, 0, 1, 1}},
		{"filing, target full, then answered", "/file/", []step{full, ok}, want{200, 0, 2, 1}},
		{"filing, target unreachable, then answered", "/file/", []step{unreachable, ok}, want{200, 0, 2, 1}},
		{"filing, answer lost", "/file/", []step{lost, ok}, want{refused, saddlegateway.OutcomeUnknown, 1, 1}},
		{"filing, answer torn", "/file/", []step{torn, ok}, want{refused, saddlegateway.OutcomeUnknown, 1, 1}},
		{"filing, target fails", "/file/", []step{failure, ok}, want{500, 0, 1, 1}},
		{"filing, all full", "/file/", []step{full}, want{refused, saddlegateway.OutcomeNotRun, 3, 0}},
		{"filing, none reachable", "/file/", []step{unreachable}, want{refused, saddlegateway.OutcomeNotRun, 3, 0}},
		{"filing, full and then lost", "/file/", []step{full, lost, ok}, want{refused, saddlegateway.OutcomeUnknown, 2, 1}},
		{"status, answer lost, then answered", "/status/", []step{lost, ok}, want{200, 0, 2, 2}},
		{"status, answer torn, then answered", "/status/", []step{torn, ok}, want{200, 0, 2, 2}},
		{"status, target fails, then answered", "/status/", []step{failure, ok}, want{200, 0, 2, 2}},
		{"status, fails twice", "/status/", []step{failure, failure, ok}, want{500, 0, 2, 2}},
		{"status, lost twice", "/status/", []step{lost, lost, ok}, want{refused, saddlegateway.OutcomeUnknown, 2, 2}},
		{"status, full does not count as run", "/status/", []step{full, lost, ok}, want{200, 0, 3, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t, answers(c.steps...))
			got := f.serve(call(c.path))
			is.Equal(got.status, c.want.status)
			if c.want.status == refused {
				is.True(got.refusal != nil)
				is.Equal(got.refusal.Outcome, c.want.outcome)
				is.Equal(got.refusal.Outcome == saddlegateway.OutcomeNotRun, got.refusal.RetryAfter > 0)
			} else {
				is.True(!got.aborted)
			}
			is.Equal(len(f.targets.forwarded()), c.want.sends)
			is.Equal(f.targets.ran, c.want.ran)
			seen := map[fireflysaddle.TargetID]bool{}
			for _, sent := range f.targets.forwarded() {
				is.True(!seen[sent.Target]) // never twice to the same one
				seen[sent.Target] = true
				is.Equal(sent.Workspace, fireflysaddle.Workspace("small"))
				is.True(sent.Budget <= 5*time.Second)
			}
		})
	}
}

func TestAdmission(t *testing.T) {
	for name, c := range map[string]struct {
		change func(f *fixture, call *saddlegateway.Call)
		code   fireflysaddle.Code // empty: served
	}{
		"a known key":                   {func(*fixture, *saddlegateway.Call) {}, ""},
		"an unknown key":                {func(_ *fixture, c *saddlegateway.Call) { c.Key = "other" }, fireflysaddle.CodeUnauthorized},
		"no key":                        {func(_ *fixture, c *saddlegateway.Call) { c.Key = "" }, fireflysaddle.CodeUnauthorized},
		"no key on a public route":      {func(_ *fixture, c *saddlegateway.Call) { c.Key, c.Path = "", "/open/" }, ""},
		"no such route":                 {func(_ *fixture, c *saddlegateway.Call) { c.Path = "/none/" }, fireflysaddle.CodeNotFound},
		"no configuration":              {func(f *fixture, _ *saddlegateway.Call) { f.use(nil, 0) }, fireflysaddle.CodeNoMajority},
		"control silent, known key":     {func(f *fixture, _ *saddlegateway.Call) { f.use(routing(t), 3*time.Second) }, ""},
		"control silent for too long":   {func(f *fixture, _ *saddlegateway.Call) { f.use(routing(t), 5*time.Second) }, fireflysaddle.CodeNoMajority},
		"control silent, public route":  {func(f *fixture, c *saddlegateway.Call) { f.use(routing(t), time.Hour); c.Path = "/open/" }, ""},
		"control silent, unknown key":   {func(f *fixture, c *saddlegateway.Call) { f.use(routing(t), 3*time.Second); c.Key = "other" }, fireflysaddle.CodeNoMajority},
		"control silent, no such route": {func(f *fixture, c *saddlegateway.Call) { f.use(routing(t), 3*time.Second); c.Path = "/none/" }, fireflysaddle.CodeNoMajority},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t, answers(ok))
			request := call("/status/")
			request.Timeout = 200 * time.Millisecond
			c.change(f, request)
			got := f.serve(request)
			if c.code == "" {
				is.Equal(got.status, http.StatusOK)
				return
			}
			is.True(got.refusal != nil)
			is.Equal(got.refusal.Code, c.code)
			is.Equal(got.refusal.Outcome, saddlegateway.OutcomeNotRun)
			is.Equal(len(f.targets.forwarded()), 0)
		})
	}
}

// A request that comes before the configuration waits for it.
func TestARequestWaitsForTheConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answers(ok))
	next := routing(t)
	f.use(nil, 0)
	time.AfterFunc(20*time.Millisecond, func() { f.use(next, 0) })
	is.Equal(f.serve(call("/status/")).status, http.StatusOK)
}

// Repeated sendings are a part of the first ones and a reserve.
func TestRepeatedSendingsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answers(failure))
	const calls = 100
	for range calls {
		f.serve(call("/status/"))
	}
	again := len(f.targets.forwarded()) - calls
	is.True(again <= calls/5+100/8+1)
	is.True(again >= calls/5)
}

// Beyond its own part an entry repeats only what it is granted.
func TestMoreIsSentAgainWhenGranted(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answers(failure))
	granted := 0
	f.grant = func(want, limit int) int {
		n := min(want, limit-granted)
		granted += n
		return n
	}
	const calls = 100
	for range calls {
		f.serve(call("/status/"))
	}
	again := len(f.targets.forwarded()) - calls
	is.Equal(granted, 45)
	is.True(again > calls/5+granted)
	is.True(again <= calls/5+100/8+1+granted)
}
