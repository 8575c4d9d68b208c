package saddlegateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
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

// targets stands for the targets: it answers what a test says and records what
// reached it.
type targets struct {
	answer func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error)
	report func(address string) (fireflysaddle.EngineReport, error)
	// reroute is asked by the head of a chain that is to go on along another one;
	// nil: it does not know the request.
	reroute func(request fireflysaddle.RequestID, chain []fireflysaddle.ChainPart) error

	mu   sync.Mutex
	sent []fireflysaddle.Forward
	ran  int // sendings that a target began to work on
}

func (s *targets) Reroute(_ context.Context, head string, request fireflysaddle.RequestID, chain []fireflysaddle.ChainPart) error {
	if s.reroute == nil {
		return &fireflysaddle.OrderError{Address: head, Status: fireflysaddle.OrderNotFound}
	}
	return s.reroute(request, chain)
}

func (s *targets) Forward(ctx context.Context, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	s.mu.Lock()
	s.sent = append(s.sent, f)
	n := len(s.sent)
	s.mu.Unlock()
	reply, err := s.answer(n, f)
	var notSent *fireflysaddle.NotSentError
	if !errors.As(err, &notSent) && (reply == nil || !reply.NotRun) {
		s.mu.Lock()
		s.ran++
		s.mu.Unlock()
	}
	if reply != nil {
		if b, ok := reply.Body.(interface{ use(ctx context.Context) }); ok {
			b.use(ctx)
		}
	}
	return reply, err
}

func (s *targets) Report(_ context.Context, address string) (fireflysaddle.EngineReport, error) {
	if s.report == nil {
		return fireflysaddle.EngineReport{}, nil
	}
	return s.report(address)
}

func (s *targets) forwarded() []fireflysaddle.Forward {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]fireflysaddle.Forward(nil), s.sent...)
}

// silentBody yields some bytes and then nothing until its context ends.
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

func (b *silentBody) use(ctx context.Context) { b.ctx = ctx }

func (b *silentBody) Close() error { return nil }

func reply(status int, body io.Reader) *fireflysaddle.Reply {
	return &fireflysaddle.Reply{Status: status, Header: http.Header{}, Length: -1, Body: io.NopCloser(body)}
}

func whole(body string) *fireflysaddle.Reply { return reply(http.StatusOK, strings.NewReader(body)) }

func notRun(at string) *fireflysaddle.Reply {
	r := reply(http.StatusServiceUnavailable, strings.NewReader(""))
	r.NotRun, r.FaultyEngine = true, at
	return r
}

// broken is an answer that breaks off after some bytes.
func broken(body string) *fireflysaddle.Reply {
	return reply(http.StatusOK, io.MultiReader(strings.NewReader(body), &failing{}))
}

type failing struct{}

func (*failing) Read([]byte) (int, error) { return 0, errReset }

// events returns events with some identifiers.
func events(from, to int) string {
	var out strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&out, "id: %d\ndata: token %d\n\n", i, i)
	}
	return out.String()
}

// caller records the answer that it gets.
type caller struct {
	status  int
	body    strings.Builder
	refusal *saddlegateway.Refusal
	aborted bool
	gone    bool // writes fail
}

func (c *caller) Begin(r *fireflysaddle.Reply) error {
	c.status = r.Status
	return nil
}

func (c *caller) Write(p []byte) error {
	if c.gone {
		return errReset
	}
	c.body.Write(p)
	return nil
}

func (c *caller) Abort() { c.aborted = true }

func (c *caller) Refuse(r saddlegateway.Refusal) { c.refusal = &r }

const layers = 4

// fixture is a gateway before three plain targets and the engines of two data
// centres, each of which holds half of the layers.
type fixture struct {
	gateway *saddlegateway.Gateway
	fleet   *saddlefleet.Fleet
	targets *targets
	builder *saddleview.Builder
	now     time.Time
	grant   func(want, limit int) int // nil: nothing is granted
}

func newFixture(t *testing.T, answer func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error)) *fixture {
	t.Helper()
	s := &targets{answer: answer}
	f := &fixture{targets: s, builder: saddleview.NewBuilder(), now: start}
	f.fleet = saddlefleet.New("entry-1", "a", zerolog.Nop(), func(address string) { f.gateway.EngineDown(address) })
	f.gateway = saddlegateway.New(saddlegateway.Config{
		Forwarder: s, Fleet: f.fleet, KeyLease: 4 * time.Second, RetryShare: 0.2, RetryReserve: 100, Log: zerolog.Nop(),
		GrantRetries: func(_ context.Context, _ fireflysaddle.Group, want, limit int) int {
			if f.grant == nil {
				return 0
			}
			return f.grant(want, limit)
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
	f.fleet.Update(f.builder.Build())
	f.use(routing(t), 0)
	return f
}

// use has the gateway serve by a configuration that was confirmed a while ago.
func (f *fixture) use(r *saddlerouting.Routing, age time.Duration) {
	f.gateway.SetState(saddlegateway.State{Routing: r, Confirmed: f.now.Add(-age)})
}

func (f *fixture) serve(call *saddlegateway.Call) *caller {
	c := &caller{}
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
		Tenants: []*saddlerouting.Tenant{{Name: "small", Keys: []string{"key"}}},
		Pools: map[fireflysaddle.Group]*saddlerouting.Pool{
			"desk": {Group: "desk"},
			"drafts": {Group: "drafts", Model: &saddlerouting.Model{
				Layers: layers, LayerMB: 10, TokenBytes: 4000, Step: time.Millisecond, PrefillTokensPerSecond: 1e6,
				Accelerators: map[fireflysaddle.Accelerator]saddlerouting.Accelerator{"big": {MemoryMB: 100, Pace: 1, PrefillFactor: 1}},
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
	add("/open/", saddlerouting.Idempotent, "desk", 2).Public = true
	if err := r.Check(); err != nil {
		t.Fatal(err)
	}
	return r
}
