package saddlegateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlebudget"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

var (
	errReset = errors.New("connection reset")
	start    = time.Unix(1_800_000_000, 0)
)

// fakeTargets is a Forwarder that answers as the test specifies and records what it was
// sent.
type fakeTargets struct {
	// answer handles the nth send, counted from 1.
	answer func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error)
	report func(address string) (fireflysaddle.EngineReport, error)
	// reroute handles requests to a head to continue on another chain. If it is nil,
	// the head does not know the request.
	reroute func(request fireflysaddle.RequestID, chain []fireflysaddle.ChainPart) error

	// silent makes Forward wait until its context ends.
	silent bool

	// ended reports whether a target accepts no connections. If it is nil, all do.
	ended func(address string) bool

	mu   sync.Mutex
	sent []fireflysaddle.Forward
	runs int // sends that a target started to run
}

func (s *fakeTargets) Reroute(_ context.Context, head string, request fireflysaddle.RequestID, chain []fireflysaddle.ChainPart) error {
	if s.reroute == nil {
		return &fireflysaddle.OrderError{Address: head, Status: fireflysaddle.OrderNotFound}
	}
	return s.reroute(request, chain)
}

func (s *fakeTargets) Forward(ctx context.Context, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	s.mu.Lock()
	s.sent = append(s.sent, f)
	n := len(s.sent)
	s.mu.Unlock()
	reply, err := s.answer(n, f)
	if s.silent {
		<-ctx.Done()
		reply, err = nil, &fireflysaddle.TargetError{Target: f.Target, Err: context.Cause(ctx)}
	}
	var notSent *fireflysaddle.NotSentError
	if !errors.As(err, &notSent) && (reply == nil || !reply.NotRun) {
		s.mu.Lock()
		s.runs++
		s.mu.Unlock()
	}
	if reply != nil {
		if b, ok := reply.Body.(interface{ setContext(ctx context.Context) }); ok {
			b.setContext(ctx)
		}
	}
	return reply, err
}

func (s *fakeTargets) Dial(_ context.Context, address string) error {
	if s.ended != nil && s.ended(address) {
		return &fireflysaddle.NotSentError{Address: address, Err: syscall.ECONNREFUSED}
	}
	return nil
}

func (s *fakeTargets) Report(_ context.Context, address string) (fireflysaddle.EngineReport, error) {
	if s.report == nil {
		return fireflysaddle.EngineReport{}, nil
	}
	return s.report(address)
}

func (s *fakeTargets) forwarded() []fireflysaddle.Forward {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]fireflysaddle.Forward(nil), s.sent...)
}

// silentBody yields some bytes and then blocks until its context ends.
type silentBody struct {
	io.Reader
	ctx context.Context
}

func (b *silentBody) Read(p []byte) (int, error) {
	if n, err := b.Reader.Read(p); err == nil {
		return n, nil
	}
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (b *silentBody) setContext(ctx context.Context) { b.ctx = ctx }

func (b *silentBody) Close() error { return nil }

func reply(status int, body io.Reader) *fireflysaddle.Reply {
	return &fireflysaddle.Reply{Status: status, Header: http.Header{}, Length: -1, Body: io.NopCloser(body)}
}

func okReply(body string) *fireflysaddle.Reply { return reply(http.StatusOK, strings.NewReader(body)) }

func notRunReply(faultyAddress string) *fireflysaddle.Reply {
	r := reply(http.StatusServiceUnavailable, strings.NewReader(""))
	r.NotRun, r.FaultyEngine = true, faultyAddress
	return r
}

// truncatedReply returns an answer whose body fails after the given bytes.
func truncatedReply(body string) *fireflysaddle.Reply {
	return reply(http.StatusOK, io.MultiReader(strings.NewReader(body), &failingReader{}))
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, errReset }

// eventStream returns the events with the identifiers first to last, inclusive.
func eventStream(first, last int) string {
	var out strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&out, "id: %d\ndata: token %d\n\n", i, i)
	}
	return out.String()
}

// fakeResponder records the answer that it receives.
type fakeResponder struct {
	status       int
	body         strings.Builder
	refusal      *saddlegateway.Refusal
	aborted      bool
	disconnected bool // Write returns an error
}

func (c *fakeResponder) Begin(r *fireflysaddle.Reply) error {
	c.status = r.Status
	return nil
}

func (c *fakeResponder) Write(p []byte) error {
	if c.disconnected {
		return errReset
	}
	c.body.Write(p)
	return nil
}

func (c *fakeResponder) Abort() { c.aborted = true }

func (c *fakeResponder) Refuse(r saddlegateway.Refusal) { c.refusal = &r }

// lockedBuffer collects log lines.
type lockedBuffer struct {
	mu    sync.Mutex
	bytes strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes.Write(p)
}

// lines returns the lines with a message.
func (b *lockedBuffer) lines(message string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for line := range strings.Lines(b.bytes.String()) {
		if strings.Contains(line, `"message":"`+message+`"`) {
			out = append(out, line)
		}
	}
	return out
}

const layers = 4

// fixture is a gateway with three plain targets and two data centres of two engines each.
// Each engine holds half of the layers.
type fixture struct {
	gateway      *saddlegateway.Gateway
	fleet        *saddlefleet.Fleet
	fakeTargets  *fakeTargets
	builder      *saddleview.Builder
	now          time.Time
	log          lockedBuffer
	grantRetries func(want, limit int) int // nil: nothing is granted
}

func newFixture(t *testing.T, answer func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error)) *fixture {
	t.Helper()
	return newFixtureWithin(t, nil, answer)
}

// newFixtureWithin is newFixture for a gateway with a budget.
func newFixtureWithin(t *testing.T, budget *saddlebudget.Budget, answer func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error)) *fixture {
	t.Helper()
	s := &fakeTargets{answer: answer}
	f := &fixture{fakeTargets: s, builder: saddleview.NewBuilder(), now: start}
	f.fleet = saddlefleet.New("entry-1", "a", zerolog.Nop(), func(address string, ended bool) { f.gateway.HandleEngineDown(address, ended) })
	f.gateway = saddlegateway.New(saddlegateway.Config{
		Node: "entry-1", Centre: "a", Forwarder: s, Fleet: f.fleet, Budget: budget, Log: zerolog.New(&f.log),
		Limits: saddlegateway.Limits{KeyLease: 4 * time.Second, RetryShare: 0.2, RetryReserve: 100},
		GrantRetries: func(_ context.Context, _ fireflysaddle.Group, want, limit int) int {
			if f.grantRetries == nil {
				return 0
			}
			return f.grantRetries(want, limit)
		},
	})
	u := &saddlewire.Update{Snapshot: true, Confirmed: true}
	for _, id := range []string{"desk-1", "desk-2", "desk-3"} {
		u.Registrations = append(u.Registrations, &saddlewire.Registration{Id: id, Group: "desk", Address: id, Centre: "a", Incarnation: 1})
	}
	for _, centre := range []string{"a", "b"} {
		for _, from := range []uint32{0, 2} {
			id := fmt.Sprintf("engine-%s-%d", centre, from)
			u.Registrations = append(u.Registrations, &saddlewire.Registration{
				Id: id, Group: "drafts", Address: id, Centre: centre, Accelerator: "big", Incarnation: 1,
				Layers: []*saddlewire.HeldLayers{{From: from, To: from + 2}},
			})
		}
	}
	f.builder.Update("control", u)
	f.fleet.Update(time.Now(), f.builder.Build())
	f.setRouting(routing(t), 0)
	return f
}

// setRouting sets a routing configuration that was last confirmed age ago.
func (f *fixture) setRouting(r *saddlerouting.Routing, age time.Duration) {
	f.gateway.SetState(saddlegateway.State{Routing: r, Confirmed: f.now.Add(-age)})
}

func (f *fixture) serve(call *saddlegateway.Call) *fakeResponder {
	c := &fakeResponder{}
	f.gateway.Serve(context.Background(), func() time.Time { return f.now }, call, c)
	return c
}

func call(path string) *saddlegateway.Call {
	return &saddlegateway.Call{ID: "r1", Method: http.MethodPost, Host: "h", URI: path, Path: path, Key: "key", PromptTokens: 100, MaxOutputTokens: 50}
}

func routing(t *testing.T) *saddlerouting.Routing {
	t.Helper()
	r := &saddlerouting.Routing{
		Version: 3,
		Tenants: []*saddlerouting.Tenant{{Name: "small", Keys: []string{"key"}}, {Name: "large", Keys: []string{"key-2"}}},
		Pools: map[fireflysaddle.Group]*saddlerouting.Pool{
			"desk": {Group: "desk"},
			"drafts": {Group: "drafts", Model: &saddlerouting.Model{
				Layers: layers, LayerMB: 10, TokenBytes: 4000, Step: time.Millisecond, PrefillTokensPerSecond: 1e6,
				Accelerators: map[fireflysaddle.Accelerator]saddlerouting.Accelerator{"big": {MemoryMB: 100, StepTimeFactor: 1, PrefillFactor: 1}},
			}},
		},
	}
	add := func(prefix string, kind saddlerouting.Kind, group fireflysaddle.Group, attempts int) *saddlerouting.Route {
		route := &saddlerouting.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Timeout: 5 * time.Second, FirstByteObjective: 500 * time.Millisecond,
			Split: []saddlerouting.Share{{Group: group, Weight: 1}}, MaxAttempts: attempts,
		}
		r.Routes = append(r.Routes, route)
		return route
	}
	add("/file/", saddlerouting.NonIdempotent, "desk", 1)
	add("/status/", saddlerouting.Idempotent, "desk", 2)
	add("/draft/", saddlerouting.Streaming, "drafts", 2).Resumable = true
	add("/once/", saddlerouting.Streaming, "drafts", 2)
	add("/feed/", saddlerouting.Streaming, "desk", 2).Resumable = true
	add("/open/", saddlerouting.Idempotent, "desk", 2).Public = true
	if err := r.Check(); err != nil {
		t.Fatal(err)
	}
	return r
}
