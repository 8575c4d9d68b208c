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
	callSilenceTimeout   = time.Second
	clusterSettleTime    = 2 * time.Second // virtual time; enough for heartbeats and updates to reach all processes
	agentShutdownTimeout = 5 * time.Second
	occupantKey          = "occupant" // key and body of the call, or prompt of the draft, that occupies a slot
)

// step is a point in the processing of a request.
type step string

const (
	stepReceived      step = "received"
	stepClaimed       step = "claimed"
	stepChosen        step = "chosen"
	stepAdmitted      step = "admitted"
	stepFirstByte     step = "first byte to target"
	stepRunning       step = "running"
	stepAnswerStarted step = "answer started"
	stepAnswerEnded   step = "answer ended"
	stepRecorded      step = "outcome recorded"
)

// testCluster runs two entries, a control replica, and agents with their targets, over
// an in-memory network and in virtual time.
type testCluster struct {
	t            *testing.T
	net          *network
	control      *control
	executionLog *executionLog
	relay        *relay
	agents       map[string]*agentProcess
	entryCancels map[string]func()
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	mu         sync.Mutex
	hooks      map[step]func()    // each is called once
	watchedKey string             // key or body of the request under test
	onToken    func(position int) // called after each token of the request under test
	occupant   chan struct{}      // closed to release the request that occupies a slot
}

// agentProcess is one incarnation of an agent's process.
type agentProcess struct {
	testTarget *testTarget
	cancel     context.CancelFunc
	stop       func() // begins the shutdown, with agentShutdownTimeout
}

// runWithCluster runs a test with entry-1, entry-2 and agent-1, whose target is a
// service or an engine, according to kind.
func runWithCluster(t *testing.T, kind fireflysaddle.TargetKind, test func(t *testing.T, w *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t)
		defer w.stop()
		w.startAgent("agent-1", 1, kind)
		time.Sleep(clusterSettleTime)
		test(t, w)
	})
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	w := &testCluster{t: t, net: newNetwork(), executionLog: &executionLog{}, agents: map[string]*agentProcess{}, entryCancels: map[string]func(){}, hooks: map[step]func(){}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.net.onDial = func(from, to string) {
		if from == "entry-1" && (to == "agent-1" || to == "relay") {
			w.reachStep(stepChosen, w.currentKey())
		}
	}
	w.control = newControl(w)
	w.control.start()
	w.startEntry("entry-1")
	w.startEntry("entry-2")
	return w
}

// stop stops all processes and waits for them.
func (w *testCluster) stop() {
	w.cancel()
	for _, a := range w.agents {
		a.testTarget.resume()
	}
	for _, name := range []string{"entry-1", "entry-2", "control", "relay", "agent-1", "agent-2", "caller"} {
		w.net.kill(name)
	}
	w.wg.Wait()
}

func (w *testCluster) spawn(f func(ctx context.Context)) {
	w.wg.Go(func() { f(w.ctx) })
}

func (w *testCluster) startEntry(name string) {
	w.t.Helper()
	s, cleanup, err := saddleentry.New(saddleentry.Config{
		Node: fireflysaddle.NodeID(name), Incarnation: 1, Centre: "centre-1", Listen: name + ":1",
		Controls: []string{controlAddress}, HeartbeatInterval: 500 * time.Millisecond, ControlSilenceTimeout: 2 * time.Second,
		CallSilenceTimeout: callSilenceTimeout, BodyLimit: 1 << 20, MaxTimeout: time.Minute, Seed: 1,
		Log: zerolog.Nop(), Network: w.net.forProcess(name),
	})
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(w.ctx)
	w.entryCancels[name] = cancel
	w.wg.Go(func() {
		_ = s.Run(ctx, nil)
		_ = cleanup()
	})
}

func (w *testCluster) killEntry(name string) {
	w.net.kill(name)
	w.entryCancels[name]()
}

// startAgent starts an agent and announces a target to it.
func (w *testCluster) startAgent(name string, incarnation uint64, kind fireflysaddle.TargetKind) {
	w.t.Helper()
	target := newTestTarget(w)
	s, cleanup, err := saddleagent.New(saddleagent.Config{
		Node: fireflysaddle.NodeID(name), Incarnation: fireflysaddle.Incarnation(incarnation), Centre: "centre-1",
		Listen: name + ":1", Advertise: name + ":1", AnnounceAddress: name + ":2", Controls: []string{controlAddress},
		HeartbeatInterval: 500 * time.Millisecond, SilenceTimeout: 2 * time.Second, ProbeInterval: time.Second, TargetLostTimeout: 3 * time.Second,
		StepTimeout: time.Second, MaxQueueWait: time.Minute, ShutdownTimeout: agentShutdownTimeout, Log: zerolog.Nop(),
		Network: w.net.forProcess(name), Adapters: target,
	})
	if err != nil {
		w.t.Error(err)
		return
	}
	ctx, cancel := context.WithCancel(w.ctx)
	w.mu.Lock()
	stop := make(chan struct{})
	w.agents[name] = &agentProcess{testTarget: target, cancel: cancel, stop: func() { close(stop) }}
	w.mu.Unlock()
	w.wg.Go(func() {
		_ = s.Run(ctx, stop)
		_ = cleanup()
	})
	group := serviceGroup
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

// currentAgent returns the current incarnation of agent-1.
func (w *testCluster) currentAgent() *agentProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agents["agent-1"]
}

// killAgent kills the process of agent-1.
func (w *testCluster) killAgent() {
	a := w.currentAgent()
	a.testTarget.disconnect()
	w.net.kill("agent-1")
	a.cancel()
	a.testTarget.resume()
}

// client returns an HTTP client of a process, without keep-alive connections.
func (w *testCluster) client(process string) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return w.net.forProcess(process).Dial(ctx, address)
		},
	}}
}

// watchKey sets the key or body by which the request under test is recognised.
func (w *testCluster) watchKey(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watchedKey = key
}

func (w *testCluster) currentKey() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watchedKey
}

// onStep sets a function to be called when the request under test first reaches a step.
func (w *testCluster) onStep(s step, do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hooks[s] = do
}

// reachStep calls the hook of a step if the request that has reached it is the one under
// test.
func (w *testCluster) reachStep(s step, key string) {
	w.mu.Lock()
	var do func()
	if key != "" && key == w.watchedKey {
		do = w.hooks[s]
		delete(w.hooks, s)
	}
	w.mu.Unlock()
	if do != nil {
		do()
	}
}

// answerStarting is called when a target is about to answer. It sets the hook of
// stepAnswerStarted on the next write to entry-1 from agent-1 or the relay.
func (w *testCluster) answerStarting(key string) {
	w.mu.Lock()
	do, watched := w.hooks[stepAnswerStarted], key == w.watchedKey
	w.mu.Unlock()
	if !watched || do == nil {
		return
	}
	w.net.mu.Lock()
	defer w.net.mu.Unlock()
	hook := func(k *link) { k.backward.onWrite(func() { w.reachStep(stepAnswerStarted, key) }) }
	w.net.eachLink("entry-1", "agent-1", hook)
	w.net.eachLink("entry-1", "relay", hook)
}

func (w *testCluster) tokenEmitted(prompt string, position int) {
	w.mu.Lock()
	do := w.onToken
	w.mu.Unlock()
	if do != nil && prompt == w.currentKey() {
		do(position)
	}
}

// relayAddressOf returns the address of a node's relay, or an empty string.
func (w *testCluster) relayAddressOf(node string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.relay != nil && node == "agent-1" {
		return relayAddress
	}
	return ""
}

func (w *testCluster) startRelay() {
	r := &relay{cluster: w, agentAddress: "agent-1:1"}
	r.start()
	w.mu.Lock()
	w.relay = r
	w.mu.Unlock()
	time.Sleep(clusterSettleTime)
}

// occupySlot occupies agent-1's only slot with a request until release is called.
func (w *testCluster) occupySlot() (release func()) {
	release = w.newOccupant()
	go w.post(context.Background(), "entry-2", occupantKey, occupantKey, nil) // occupies the slot if the target is a service
	go w.draft(context.Background(), "entry-2", occupantKey, 1, nil)          // occupies the slot if the target is an engine
	time.Sleep(clusterSettleTime)
	return release
}

func (w *testCluster) newOccupant() (release func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.occupant = make(chan struct{})
	return sync.OnceFunc(func() { close(w.occupant) })
}

// awaitRelease blocks the request whose body or prompt is occupantKey until its slot is
// released.
func (w *testCluster) awaitRelease(body string) {
	w.mu.Lock()
	occupant := w.occupant
	w.mu.Unlock()
	if body == occupantKey && occupant != nil {
		<-occupant
	}
}

// awaitQueued waits until agent-1's heartbeats report a queued request.
func (w *testCluster) awaitQueued() {
	for w.control.member("agent-1").GetLoad().GetQueued() == 0 {
		time.Sleep(updateInterval)
	}
}

// callerResult is the result of a request as the caller sees it.
type callerResult struct {
	// kind is "answer"; the execution status "no", "yes" or "unknown" of a failure; or
	// "gone" if the connection broke before the complete response was received.
	kind       string
	code       string
	body       string
	request    string
	retryAfter string // header Retry-After
	replayed   bool
	elapsed    time.Duration
}

// post sends a non-idempotent call through an entry, without a key if key is empty.
func (w *testCluster) post(ctx context.Context, entry, key, body string, headers map[string]string) callerResult {
	return w.do(ctx, entry, http.MethodPost, "/services/"+serviceGroup+"/cases", key, body, headers)
}

func (w *testCluster) do(ctx context.Context, entry, method, path, key, body string, headers map[string]string) callerResult {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+":1"+path, strings.NewReader(body))
	if err != nil {
		w.t.Error(err)
		return callerResult{}
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
		return callerResult{kind: "gone", elapsed: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	out := callerResult{
		body:       string(text),
		request:    resp.Header.Get(saddleentry.HeaderRequest),
		retryAfter: resp.Header.Get("Retry-After"),
		replayed:   resp.Header.Get(saddleentry.HeaderReplayed) == "true",
		elapsed:    time.Since(start),
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

// schedule calls a function after a delay, unless the cluster is stopped first.
func (w *testCluster) schedule(after time.Duration, do func()) {
	w.spawn(func(ctx context.Context) {
		select {
		case <-ctx.Done():
		case <-time.After(after):
			do()
		}
	})
}
