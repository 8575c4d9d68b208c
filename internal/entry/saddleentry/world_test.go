package saddleentry_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/agent/saddleagent"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleentry"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
)

const (
	callSilence = time.Second
	settleWorld = 2 * time.Second // for heartbeats and updates to go round
	occupantKey = "occupant"
)

// step is how far a request has come.
type step string

const (
	stepReceived  step = "received"
	stepClaimed   step = "claimed"
	stepChosen    step = "chosen"
	stepAdmitted  step = "admitted"
	stepFirstByte step = "first byte to target"
	stepRunning   step = "running"
	stepBegun     step = "answer begun"
	stepEnded     step = "answer ended"
	stepRecorded  step = "outcome recorded"
)

// world is two entries, control, and agents with their targets, in memory and
// in virtual time.
type world struct {
	t       *testing.T
	net     *network
	control *control
	journal *journal
	relay   *relay
	agents  map[string]*agentProcess
	stops   map[string]func()
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex
	hooks    map[step]func() // called once
	watched  string          // key and body of the request under test
	onToken  func(n int)
	occupant chan struct{}
}

// agentProcess is one incarnation of an agent's process.
type agentProcess struct {
	targets *targets
	cancel  context.CancelFunc
}

// inWorld runs a test in a world with entry-1, entry-2 and agent-1, which is
// beside a desk, or an engine if kind says so.
func inWorld(t *testing.T, kind fireflysaddle.TargetKind, test func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.end()
		w.startAgent("agent-1", 1, kind)
		time.Sleep(settleWorld)
		test(t, w)
	})
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, net: newNetwork(), journal: &journal{}, agents: map[string]*agentProcess{}, stops: map[string]func(){}, hooks: map[step]func(){}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.net.dialled = func(from, to string) {
		if from == "entry-1" && (to == "agent-1" || to == "relay") {
			w.at(stepChosen, w.key())
		}
	}
	w.control = newControl(w)
	w.control.start()
	w.startEntry("entry-1")
	w.startEntry("entry-2")
	return w
}

// end stops all and waits for it.
func (w *world) end() {
	w.cancel()
	for _, a := range w.agents {
		a.targets.thaw()
	}
	for _, name := range []string{"entry-1", "entry-2", "control", "relay", "agent-1", "agent-2", "caller"} {
		w.net.kill(name)
	}
	w.wg.Wait()
}

func (w *world) run(f func(ctx context.Context)) {
	w.wg.Go(func() { f(w.ctx) })
}

func (w *world) startEntry(name string) {
	w.t.Helper()
	s, cleanup, err := saddleentry.New(saddleentry.Config{
		Node: fireflysaddle.NodeID(name), Incarnation: 1, Centre: "centre-1", Listen: name + ":1",
		Controls: []string{controlAddress}, HeartbeatInterval: 500 * time.Millisecond, ControlSilenceTimeout: 2 * time.Second,
		CallSilenceTimeout: callSilence, BodyLimit: 1 << 20, MaxTimeout: time.Minute, Seed: 1,
		Log: zerolog.Nop(), Network: w.net.of(name),
	})
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(w.ctx)
	w.stops[name] = cancel
	w.wg.Go(func() {
		_ = s.Run(ctx, nil)
		_ = cleanup()
	})
}

func (w *world) killEntry(name string) {
	w.net.kill(name)
	w.stops[name]()
}

// startAgent starts an agent's process, whose target announces itself.
func (w *world) startAgent(name string, incarnation uint64, kind fireflysaddle.TargetKind) {
	w.t.Helper()
	g := newTargets(w)
	s, cleanup, err := saddleagent.New(saddleagent.Config{
		Node: fireflysaddle.NodeID(name), Incarnation: fireflysaddle.Incarnation(incarnation), Centre: "centre-1",
		Listen: name + ":1", Advertise: name + ":1", AnnounceAddress: name + ":2", Controls: []string{controlAddress},
		HeartbeatInterval: 500 * time.Millisecond, SilenceTimeout: 2 * time.Second, ProbeInterval: time.Second, TargetLostTimeout: 3 * time.Second,
		StepTimeout: time.Second, MaxQueueWait: time.Minute, Log: zerolog.Nop(),
		Network: w.net.of(name), Adapters: g,
	})
	if err != nil {
		w.t.Error(err)
		return
	}
	ctx, cancel := context.WithCancel(w.ctx)
	w.mu.Lock()
	w.agents[name] = &agentProcess{targets: g, cancel: cancel}
	w.mu.Unlock()
	w.wg.Go(func() {
		_ = s.Run(ctx, nil)
		_ = cleanup()
	})
	group := deskGroup
	if kind == fireflysaddle.KindEngine {
		group = modelGroup
	}
	w.wg.Go(func() {
		a := announcement(name, string(kind), group, 1)
		if reply, err := saddleannounce.Send(ctx, w.client("target"), name+":2", a); err != nil || !reply.Accepted {
			w.t.Errorf("announce: %v %v", reply, err)
		}
	})
}

// firstAgent returns the present incarnation of agent-1.
func (w *world) firstAgent() *agentProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agents["agent-1"]
}

// killAgent kills the process of agent-1.
func (w *world) killAgent() {
	a := w.firstAgent()
	a.targets.kill()
	w.net.kill("agent-1")
	a.cancel()
	a.targets.thaw()
}

// client returns an HTTP client that uses each connection once.
func (w *world) client(process string) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return w.net.of(process).Dial(ctx, address)
		},
	}}
}

// watch names the request under test, by its key and body.
func (w *world) watch(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watched = key
}

func (w *world) key() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watched
}

// on has a function called when the request under test first reaches a step.
func (w *world) on(s step, do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hooks[s] = do
}

// at says that a request has reached a step.
func (w *world) at(s step, key string) {
	w.mu.Lock()
	var do func()
	if key != "" && key == w.watched {
		do = w.hooks[s]
		delete(w.hooks, s)
	}
	w.mu.Unlock()
	if do != nil {
		do()
	}
}

// answering says that a target is about to answer; the next bytes from agent-1
// to entry-1 begin the answer.
func (w *world) answering(key string) {
	w.mu.Lock()
	do, watched := w.hooks[stepBegun], key == w.watched
	w.mu.Unlock()
	if !watched || do == nil {
		return
	}
	w.net.mu.Lock()
	defer w.net.mu.Unlock()
	tap := func(k *link) { k.back.onWrite(func() { w.at(stepBegun, key) }) }
	w.net.between("entry-1", "agent-1", tap)
	w.net.between("entry-1", "relay", tap)
}

func (w *world) emitted(prompt string, n int) {
	w.mu.Lock()
	do := w.onToken
	w.mu.Unlock()
	if do != nil && prompt == w.key() {
		do(n)
	}
}

// relayed returns the address that stands for a node, if any.
func (w *world) relayed(node string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.relay != nil && node == "agent-1" {
		return relayAddress
	}
	return ""
}

func (w *world) startRelay() {
	r := &relay{w: w, behind: "agent-1:1"}
	r.start()
	w.mu.Lock()
	w.relay = r
	w.mu.Unlock()
	time.Sleep(settleWorld)
}

// occupy keeps agent-1's only slot busy until the returned function is called.
func (w *world) occupy() (release func()) {
	release = w.hold()
	go w.post(context.Background(), "entry-2", occupantKey, occupantKey, nil) // a desk's
	go w.draft(context.Background(), "entry-2", occupantKey, 1, nil)          // or an engine's
	time.Sleep(settleWorld)
	return release
}

func (w *world) hold() (release func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.occupant = make(chan struct{})
	return sync.OnceFunc(func() { close(w.occupant) })
}

// awaitRelease keeps the occupant's call running until it is released.
func (w *world) awaitRelease(body string) {
	w.mu.Lock()
	occupant := w.occupant
	w.mu.Unlock()
	if body == occupantKey && occupant != nil {
		<-occupant
	}
}

// awaitQueued waits until agent-1's heartbeats say that a request waits.
func (w *world) awaitQueued() {
	for w.control.member("agent-1").GetLoad().GetQueued() == 0 {
		time.Sleep(updateEvery)
	}
}

// outcome is what a caller got.
type outcome struct {
	kind    string // "answer", "no", "yes", "unknown" or "gone"
	code    string
	body    string
	request string
	retry   string // Retry-After
	replay  bool
	took    time.Duration
}

// post files a body under a key through an entry.
func (w *world) post(ctx context.Context, entry, key, body string, headers map[string]string) outcome {
	return w.do(ctx, entry, http.MethodPost, "/services/"+deskGroup+"/cases", key, body, headers)
}

func (w *world) do(ctx context.Context, entry, method, path, key, body string, headers map[string]string) outcome {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+":1"+path, strings.NewReader(body))
	if err != nil {
		w.t.Error(err)
		return outcome{}
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		req.Header.Set(saddleentry.HeaderKey, key)
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := w.client("caller").Do(req)
	if err != nil {
		return outcome{kind: "gone", took: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	out := outcome{
		body:    string(text),
		request: resp.Header.Get(saddleentry.HeaderRequest),
		retry:   resp.Header.Get("Retry-After"),
		replay:  resp.Header.Get(saddleentry.HeaderReplayed) == "true",
		took:    time.Since(start),
	}
	var failure struct {
		Error struct{ Code, Ran string }
	}
	switch {
	case err != nil:
		out.kind = "gone"
	case resp.StatusCode < 300:
		out.kind = "answer"
	case json.Unmarshal(text, &failure) != nil:
		w.t.Errorf("failure %q is not JSON", text)
	default:
		out.kind, out.code = failure.Error.Ran, failure.Error.Code
	}
	return out
}

// later calls a function after some time, unless the world has ended.
func (w *world) later(after time.Duration, do func()) {
	w.run(func(ctx context.Context) {
		select {
		case <-ctx.Done():
		case <-time.After(after):
			do()
		}
	})
}
