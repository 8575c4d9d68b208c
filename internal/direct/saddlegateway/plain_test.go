package saddlegateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

type answerFunc func(f fireflysaddle.Forward) (*fireflysaddle.Reply, error)

func answerSequence(steps ...answerFunc) func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	return func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		return steps[min(n, len(steps))-1](f)
	}
}

func ok(fireflysaddle.Forward) (*fireflysaddle.Reply, error) { return okReply("done"), nil }
func refuse(f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	return notRunReply(f.Address), nil
}

func refuseConnection(f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	return nil, &fireflysaddle.NotSentError{Address: f.Address, Err: errReset}
}

func loseAnswer(f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	return nil, &fireflysaddle.TargetError{Target: f.Target, Err: errReset}
}

func internalError(fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	return reply(http.StatusInternalServerError, strings.NewReader("failed")), nil
}

func truncate(fireflysaddle.Forward) (*fireflysaddle.Reply, error) { return truncatedReply("do"), nil }

// Faults of a target are combined with both kinds of plain request: a non-idempotent
// request runs at most once, and OutcomeNotRun is reported only for a request that did
// not run.
func TestPlainTargetFaults(t *testing.T) {
	type want struct {
		status  int
		outcome saddlegateway.Outcome
		sends   int
		runs    int
	}
	const refused = 0 // status of a call that the gateway refused
	for _, c := range []struct {
		name  string
		path  string
		steps []answerFunc
		want  want
	}{
		{"non-idempotent, answered", "/file/", []answerFunc{ok}, want{200, 0, 1, 1}},
		{"non-idempotent, target full, then answered", "/file/", []answerFunc{refuse, ok}, want{200, 0, 2, 1}},
		{"non-idempotent, target unreachable, then answered", "/file/", []answerFunc{refuseConnection, ok}, want{200, 0, 2, 1}},
		{"non-idempotent, answer lost", "/file/", []answerFunc{loseAnswer, ok}, want{refused, saddlegateway.OutcomeUnknown, 1, 1}},
		{"non-idempotent, answer truncated", "/file/", []answerFunc{truncate, ok}, want{refused, saddlegateway.OutcomeUnknown, 1, 1}},
		{"non-idempotent, target fails", "/file/", []answerFunc{internalError, ok}, want{500, 0, 1, 1}},
		{"non-idempotent, all targets full", "/file/", []answerFunc{refuse}, want{refused, saddlegateway.OutcomeNotRun, 3, 0}},
		{"non-idempotent, no target reachable", "/file/", []answerFunc{refuseConnection}, want{refused, saddlegateway.OutcomeNotRun, 3, 0}},
		{"non-idempotent, target full, then answer lost", "/file/", []answerFunc{refuse, loseAnswer, ok}, want{refused, saddlegateway.OutcomeUnknown, 2, 1}},
		{"idempotent, answer lost, then answered", "/status/", []answerFunc{loseAnswer, ok}, want{200, 0, 2, 2}},
		{"idempotent, answer truncated, then answered", "/status/", []answerFunc{truncate, ok}, want{200, 0, 2, 2}},
		{"idempotent, target fails, then answered", "/status/", []answerFunc{internalError, ok}, want{200, 0, 2, 2}},
		{"idempotent, target fails twice", "/status/", []answerFunc{internalError, internalError, ok}, want{500, 0, 2, 2}},
		{"idempotent, answer lost twice", "/status/", []answerFunc{loseAnswer, loseAnswer, ok}, want{refused, saddlegateway.OutcomeUnknown, 2, 2}},
		{"idempotent, refusal does not count as a run", "/status/", []answerFunc{refuse, loseAnswer, ok}, want{200, 0, 3, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t, answerSequence(c.steps...))
			got := f.serve(call(c.path))
			is.Equal(got.status, c.want.status)
			if c.want.status == refused {
				is.True(got.refusal != nil)
				is.Equal(got.refusal.Outcome, c.want.outcome)
				is.Equal(got.refusal.Outcome == saddlegateway.OutcomeNotRun, got.refusal.RetryAfter > 0)
			} else {
				is.True(!got.aborted)
			}
			is.Equal(len(f.fakeTargets.forwarded()), c.want.sends)
			is.Equal(f.fakeTargets.runs, c.want.runs)
			used := map[fireflysaddle.TargetID]bool{}
			for _, sent := range f.fakeTargets.forwarded() {
				is.True(!used[sent.Target]) // no target is tried twice
				used[sent.Target] = true
				is.Equal(sent.Workspace, fireflysaddle.Workspace("small"))
				is.True(sent.Budget <= 5*time.Second)
			}
		})
	}
}

// withoutTenants returns the configuration with an emptied list of tenants.
func withoutTenants(t *testing.T) *saddlerouting.Routing {
	t.Helper()
	r := routing(t)
	r.Tenants, r.Keyed = nil, true
	if err := r.Check(); err != nil {
		t.Fatal(err)
	}
	return r
}

func TestAdmission(t *testing.T) {
	for name, c := range map[string]struct {
		change func(f *fixture, call *saddlegateway.Call)
		code   fireflysaddle.Code // empty: the call is served
	}{
		"a known key":                          {func(*fixture, *saddlegateway.Call) {}, ""},
		"an unknown key":                       {func(_ *fixture, c *saddlegateway.Call) { c.Key = "other" }, fireflysaddle.CodeUnauthorized},
		"no key":                               {func(_ *fixture, c *saddlegateway.Call) { c.Key = "" }, fireflysaddle.CodeUnauthorized},
		"a key, no tenants left":               {func(f *fixture, _ *saddlegateway.Call) { f.setRouting(withoutTenants(t), 0) }, fireflysaddle.CodeUnauthorized},
		"no tenants left, public route":        {func(f *fixture, c *saddlegateway.Call) { f.setRouting(withoutTenants(t), 0); c.Path = "/open/" }, ""},
		"no key on a public route":             {func(_ *fixture, c *saddlegateway.Call) { c.Key, c.Path = "", "/open/" }, ""},
		"no such route":                        {func(_ *fixture, c *saddlegateway.Call) { c.Path = "/none/" }, fireflysaddle.CodeNotFound},
		"no configuration":                     {func(f *fixture, _ *saddlegateway.Call) { f.setRouting(nil, 0) }, fireflysaddle.CodeNoMajority},
		"control unreachable, known key":       {func(f *fixture, _ *saddlegateway.Call) { f.setRouting(routing(t), 3*time.Second) }, ""},
		"control unreachable beyond key lease": {func(f *fixture, _ *saddlegateway.Call) { f.setRouting(routing(t), 5*time.Second) }, fireflysaddle.CodeNoMajority},
		"control unreachable, public route":    {func(f *fixture, c *saddlegateway.Call) { f.setRouting(routing(t), time.Hour); c.Path = "/open/" }, ""},
		"control unreachable, unknown key":     {func(f *fixture, c *saddlegateway.Call) { f.setRouting(routing(t), 3*time.Second); c.Key = "other" }, fireflysaddle.CodeNoMajority},
		"control unreachable, no such route":   {func(f *fixture, c *saddlegateway.Call) { f.setRouting(routing(t), 3*time.Second); c.Path = "/none/" }, fireflysaddle.CodeNoMajority},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t, answerSequence(ok))
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
			is.Equal(len(f.fakeTargets.forwarded()), 0)
		})
	}
}

// A request that arrives before the first configuration waits for it.
func TestRequestWaitsForConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answerSequence(ok))
	next := routing(t)
	f.setRouting(nil, 0)
	time.AfterFunc(20*time.Millisecond, func() { f.setRouting(next, 0) })
	is.Equal(f.serve(call("/status/")).status, http.StatusOK)
}

// Retries are bounded by a share of the first sends and a reserve: with the settings of
// the fixture, by a fifth of the calls and an eighth of 100 retries.
func TestRetriesAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answerSequence(internalError))
	const calls = 100
	for range calls {
		f.serve(call("/status/"))
	}
	retries := len(f.fakeTargets.forwarded()) - calls
	is.True(retries <= calls/5+100/8+1)
	is.True(retries >= calls/5)
}

// Beyond its local budget an entry performs only the retries that it was granted. The
// gateway passes 45% of the reserve of 100 retries as the limit of all grants.
func TestGrantsExtendRetryBudget(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answerSequence(internalError))
	granted := 0
	f.grantRetries = func(want, limit int) int {
		n := min(want, limit-granted)
		granted += n
		return n
	}
	const calls = 100
	for range calls {
		f.serve(call("/status/"))
	}
	retries := len(f.fakeTargets.forwarded()) - calls
	is.Equal(granted, 45)
	is.True(retries > calls/5+granted)
	is.True(retries <= calls/5+100/8+1+granted)
}

// Pattern: a fault of many engines makes a hundred entries request grants at the same time.
// None may take a large part of what the leader may grant to all of them.
func TestGrantsAreSharedByManyEntries(t *testing.T) {
	for entries, largest := range map[int]int{7: 12, 28: 3, 105: 2} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, answerSequence(internalError))
			u := &saddlewire.Update{}
			for i := range entries {
				u.Members = append(u.Members, &saddlewire.Member{Node: fmt.Sprint("entry-", i+1), Role: "entry", Centre: "a"})
			}
			f.builder.Update("control", u)
			f.fleet.Update(time.Now(), f.builder.Build())
			wanted := 0
			f.grantRetries = func(want, _ int) int {
				wanted = max(wanted, want)
				return want
			}
			for range 100 {
				f.serve(call("/status/"))
			}
			is.Equal(wanted, largest)
		})
	}
}

// New limits apply from the next request on.
func TestLimitsAreReplacedWhileServing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answerSequence(ok))
	f.setRouting(routing(t), 3*time.Second)
	is.Equal(f.serve(call("/status/")).refusal, nil)
	f.gateway.SetLimits(saddlegateway.Limits{KeyLease: 2 * time.Second})
	is.True(f.serve(call("/status/")).refusal != nil)
}

// Guards against requests that end because the retry budget is spent counting as in flight
// for ever at the targets chosen for their retries, so that all others go to one target.
func TestRequestWithoutRetryLeavesNothingInFlight(t *testing.T) {
	is := is.New(t)
	failing := true
	f := newFixture(t, func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		if failing {
			return internalError(fireflysaddle.Forward{})
		}
		return okReply("done"), nil
	})
	for range 100 {
		f.serve(call("/status/"))
	}
	failing = false
	sent := len(f.fakeTargets.forwarded())
	requests := map[fireflysaddle.TargetID]int{}
	for range 30 {
		f.serve(call("/status/"))
	}
	for _, s := range f.fakeTargets.forwarded()[sent:] {
		requests[s.Target]++
	}
	is.Equal(requests, map[fireflysaddle.TargetID]int{"desk-1": 10, "desk-2": 10, "desk-3": 10})
}
