package saddledaemon_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlerelay"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
)

const (
	// benchCallers is the number of callers. It does not exceed the slots of one engine, so
	// that one of the two engines of a stage can serve all callers after the other is lost.
	benchCallers    = 4
	benchTokens     = 15
	loadBeforeFault = 2 * time.Second // duration of the load before the fault
	loadAfterFault  = 8 * time.Second // duration of the load after the fault
	benchRetryDelay = 50 * time.Millisecond
)

// loadRequest is a request of the load, with the times of its first send and of its answer.
type loadRequest struct {
	start, end time.Time
	failures   int // refusals and broken connections before the answer
}

// loadGenerator sends requests from several callers until it is stopped. A caller resends
// a failed request to the next entry.
type loadGenerator struct {
	mu        sync.Mutex
	completed []loadRequest
	stopped   chan struct{}
	wg        sync.WaitGroup
}

func startLoad(entries []string, send func(entry string, requestNumber int) error) *loadGenerator {
	l := &loadGenerator{stopped: make(chan struct{})}
	for caller := range benchCallers {
		l.wg.Go(func() {
			index := caller
			for n := 0; !l.isStopped(); n++ {
				index = l.sendUntilAnswered(entries, index, func(entry string) error { return send(entry, caller*1_000_000+n) })
			}
		})
	}
	return l
}

func (l *loadGenerator) isStopped() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}

// sendUntilAnswered sends one request until it is answered or the load is stopped. It tries
// the entries in turn, starting at entries[index], and returns the index of the last entry
// tried. Both indexes may exceed the number of entries and are taken modulo that number.
func (l *loadGenerator) sendUntilAnswered(entries []string, index int, send func(entry string) error) int {
	r := loadRequest{start: time.Now()}
	for ; send(entries[index%len(entries)]) != nil; index++ {
		r.failures++
		if l.isStopped() {
			return index
		}
		time.Sleep(benchRetryDelay)
	}
	r.end = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completed = append(l.completed, r)
	return index
}

// stop ends the load, waits for the callers and returns the answered requests.
func (l *loadGenerator) stop() []loadRequest {
	close(l.stopped)
	l.wg.Wait()
	return l.completed
}

// reportRecovery reports the times from the fault to the first and to the last answer of the
// slowed requests. A request that was answered after the fault counts as slowed if it failed
// at least once or if it took longer than the sum of the retry delay and twice the median
// duration of the requests that were answered before the fault.
func reportRecovery(b *testing.B, completed []loadRequest, fault time.Time) {
	b.Helper()
	var baseline []time.Duration
	for _, r := range completed {
		if r.end.Before(fault) {
			baseline = append(baseline, r.end.Sub(r.start))
		}
	}
	slices.Sort(baseline)
	slowThreshold := 2*baseline[len(baseline)/2] + benchRetryDelay
	var recoveryTimes []time.Duration
	failures := 0
	for _, r := range completed {
		if r.end.After(fault) && (r.failures > 0 || r.end.Sub(r.start) > slowThreshold) {
			recoveryTimes = append(recoveryTimes, r.end.Sub(fault))
			failures += r.failures
		}
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(len(completed)), "requests")
	b.ReportMetric(float64(len(recoveryTimes)), "slowed")
	b.ReportMetric(float64(failures), "refusals")
	if len(recoveryTimes) > 0 {
		b.ReportMetric(float64(slices.Min(recoveryTimes).Milliseconds()), "first_ms")
		b.ReportMetric(float64(slices.Max(recoveryTimes).Milliseconds()), "last_ms")
	}
}

// recoveryFleet is a fleet in which a fault can be injected into every process.
type recoveryFleet struct {
	*fixture
	controlRelays []*saddlerelay.Relay
	entries       []*saddleprocess.Entry
	agents        []*saddleprocess.Agent
	agentRelays   []*saddlerelay.Relay // other processes reach the agents through these
	engines       []*saddlestandin.Engine
}

// newRecoveryFleet starts two engines for each stage and two instances of a service. Each
// stage holds the layers between two consecutive boundaries.
func newRecoveryFleet(b *testing.B, boundaries []uint32) *recoveryFleet {
	b.Helper()
	fleet, controlRelays := saddleprocess.NewWithRelays(b, 3)
	r := &recoveryFleet{fixture: newFixtureOnFleet(b, fleet, "0s"), controlRelays: controlRelays}
	r.entries = []*saddleprocess.Entry{r.entry, fleet.StartEntry(b, "entry-2", `lame_duck = "0s"`)}
	r.entries[1].AwaitReady(b)
	for i := range len(boundaries) - 1 {
		for _, suffix := range []string{"a", "b"} {
			id := fmt.Sprintf("stage-%d%s", i, suffix)
			e := r.startEngine(b, id, boundaries[i], boundaries[i+1])
			agent, relay := r.StartAgentWithRelay(b, "agent-"+id)
			agent.AnnounceTarget(b, e.Announcement())
			agent.AwaitReady(b)
			r.engines = append(r.engines, e)
			r.agents = append(r.agents, agent)
			r.agentRelays = append(r.agentRelays, relay)
		}
	}
	for _, id := range []string{"desk-1", "desk-2"} {
		service, cleanup, err := saddlestandin.NewService(saddlestandin.ServiceConfig{
			Address: "127.0.0.1:0", ID: id, Group: "filing-desk", Version: "1",
			Slots: benchCallers, Incarnation: 1, CallTime: 50 * time.Millisecond,
		})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(cleanup)
		agent := r.StartAgent(b, "agent-"+id, "")
		agent.AnnounceTarget(b, service.Announcement())
		agent.AwaitReady(b)
	}
	r.awaitTargets(b, len(r.agents)+2)
	return r
}

// lastActiveEngine returns the index of the engine that most recently ran a token position
// for a stage, or of the stage's first engine if none of its engines has run one.
func (r *recoveryFleet) lastActiveEngine(stage int) int {
	for _, e := range slices.Backward(r.journal.All()) {
		for i := 2 * stage; i < 2*stage+2; i++ {
			if e.Engine == r.engines[i].Announcement().ID {
				return i
			}
		}
	}
	return 2 * stage
}

func (r *recoveryFleet) leaderIndex(b *testing.B) int {
	b.Helper()
	state, err := readState(r.Client(b))
	if err != nil {
		b.Fatal(err)
	}
	return slices.IndexFunc(r.Controls, func(p *saddleprocess.Process) bool { return p.Node == leaderID(state) })
}

func sendDraft(entry string, _ int) error {
	body := fmt.Sprintf(`{"model":"drafting-models","prompt":"the form","max_tokens":%d}`, benchTokens)
	return sendRequest(entry, "/v1/completions", "", body)
}

func sendFiling(entry string, requestNumber int) error {
	return sendRequest(entry, "/services/filing-desk/cases", fmt.Sprintf("case-%d", requestNumber), `{"case":1}`)
}

func sendRequest(entry, path, key, body string) error {
	resp, err := post(entry, path, key, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// BenchmarkRecovery measures the times from a fault to the first and to the last answer of
// the requests that the fault slowed, with separate processes:
//
//	go test -run '^$' -bench Recovery -benchtime 1x ./internal/daemon/saddledaemon
//
// The objectives are 1 s when a connection is reset and 3 s when it goes silent.
func BenchmarkRecovery(b *testing.B) {
	wholeModel := []uint32{0, layers}
	chain := []uint32{0, 2, 4, layers}
	cases := []struct {
		name       string
		boundaries []uint32
		send       func(entry string, requestNumber int) error
		fault      func(b *testing.B, r *recoveryFleet)
	}{
		{"engine_killed", wholeModel, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.engines[r.lastActiveEngine(0)].Kill() }},
		{"engine_frozen", wholeModel, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.engines[r.lastActiveEngine(0)].Freeze() }},
		{"agent_killed", wholeModel, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.agents[r.lastActiveEngine(0)].Kill() }},
		{"agent_frozen", wholeModel, sendDraft, func(b *testing.B, r *recoveryFleet) { r.agents[r.lastActiveEngine(0)].Freeze(b) }},
		{"agent_cut", wholeModel, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.agentRelays[r.lastActiveEngine(0)].Block() }},
		{"agent_silent", wholeModel, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.agentRelays[r.lastActiveEngine(0)].DropTraffic() }},
		{"stage_engine_killed", chain, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.engines[r.lastActiveEngine(1)].Kill() }},
		{"stage_agent_killed", chain, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.agents[r.lastActiveEngine(1)].Kill() }},
		{"stage_agent_frozen", chain, sendDraft, func(b *testing.B, r *recoveryFleet) { r.agents[r.lastActiveEngine(1)].Freeze(b) }},
		{"stage_cut", chain, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.agentRelays[r.lastActiveEngine(1)].Block() }},
		{"stage_silent", chain, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.agentRelays[r.lastActiveEngine(1)].DropTraffic() }},
		{"entry_killed", wholeModel, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.entries[1].Kill() }},
		{"leader_killed", wholeModel, sendFiling, func(b *testing.B, r *recoveryFleet) { r.Controls[r.leaderIndex(b)].Kill() }},
		{"leader_frozen", wholeModel, sendFiling, func(b *testing.B, r *recoveryFleet) { r.Controls[r.leaderIndex(b)].Freeze(b) }},
		{"leader_cut", wholeModel, sendFiling, func(b *testing.B, r *recoveryFleet) { r.controlRelays[r.leaderIndex(b)].Block() }},
		{"leader_silent", wholeModel, sendFiling, func(b *testing.B, r *recoveryFleet) { r.controlRelays[r.leaderIndex(b)].DropTraffic() }},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				r := newRecoveryFleet(b, c.boundaries)
				l := startLoad([]string{r.entries[0].Listen, r.entries[1].Listen}, c.send)
				time.Sleep(loadBeforeFault)
				fault := time.Now()
				c.fault(b, r)
				time.Sleep(loadAfterFault)
				reportRecovery(b, l.stop(), fault)
			}
		})
	}
}
