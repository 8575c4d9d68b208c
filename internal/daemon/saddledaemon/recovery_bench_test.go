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
	benchCallers = 4 // half of the engines can serve them
	benchTokens  = 15
	benchBefore  = 2 * time.Second // load before the fault
	benchAfter   = 8 * time.Second // load after it
	benchRetry   = 50 * time.Millisecond
)

// asked is one request of the load, with the times at which it was first sent
// and answered.
type asked struct {
	start, end time.Time
	refused    int // refusals and broken connections on the way
}

// load sends requests from several callers until it is stopped. A caller whose
// request fails sends it again, to the next entry.
type load struct {
	mu      sync.Mutex
	done    []asked
	stopped chan struct{}
	wg      sync.WaitGroup
}

func startLoad(entries []string, send func(entry string, n int) error) *load {
	l := &load{stopped: make(chan struct{})}
	for caller := range benchCallers {
		l.wg.Go(func() {
			entry := caller
			for n := 0; !l.isStopped(); n++ {
				entry = l.ask(entries, entry, func(entry string) error { return send(entry, caller*1_000_000+n) })
			}
		})
	}
	return l
}

func (l *load) isStopped() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}

// ask sends one request and returns the number of the entry that answered it.
func (l *load) ask(entries []string, entry int, send func(entry string) error) int {
	a := asked{start: time.Now()}
	for ; send(entries[entry%len(entries)]) != nil; entry++ {
		a.refused++
		if l.isStopped() {
			return entry
		}
		time.Sleep(benchRetry)
	}
	a.end = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = append(l.done, a)
	return entry
}

func (l *load) stop() []asked {
	close(l.stopped)
	l.wg.Wait()
	return l.done
}

// report gives the time from the fault to the first and the last answer of the
// requests that it slowed: those that took over twice the usual time, or were
// refused on the way.
func report(b *testing.B, done []asked, fault time.Time) {
	b.Helper()
	var usual []time.Duration
	for _, a := range done {
		if a.end.Before(fault) {
			usual = append(usual, a.end.Sub(a.start))
		}
	}
	slices.Sort(usual)
	limit := 2*usual[len(usual)/2] + benchRetry
	var after []time.Duration
	refused := 0
	for _, a := range done {
		if a.end.After(fault) && (a.refused > 0 || a.end.Sub(a.start) > limit) {
			after = append(after, a.end.Sub(fault))
			refused += a.refused
		}
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(len(done)), "requests")
	b.ReportMetric(float64(len(after)), "slowed")
	b.ReportMetric(float64(refused), "refusals")
	if len(after) > 0 {
		b.ReportMetric(float64(slices.Min(after).Milliseconds()), "first_ms")
		b.ReportMetric(float64(slices.Max(after).Milliseconds()), "last_ms")
	}
}

// recoveryFleet is a fleet whose every part can be made to fail.
type recoveryFleet struct {
	*fixture
	controls []*saddlerelay.Relay
	entries  []*saddleprocess.Entry
	agents   []*saddleprocess.Agent
	relays   []*saddlerelay.Relay // before the agents
	engines  []*saddlestandin.Engine
}

// newRecoveryFleet starts two engines for each range between the boundaries,
// and two desks.
func newRecoveryFleet(b *testing.B, bound []uint32) *recoveryFleet {
	b.Helper()
	fleet, controls := saddleprocess.NewWithRelays(b, 3)
	r := &recoveryFleet{fixture: fixtureOn(b, fleet, "0s"), controls: controls}
	r.entries = []*saddleprocess.Entry{r.entry, fleet.StartEntry(b, "entry-2", `lame_duck = "0s"`)}
	r.entries[1].AwaitReady(b)
	for i := range len(bound) - 1 {
		for _, half := range []string{"a", "b"} {
			id := fmt.Sprintf("stage-%d%s", i, half)
			e := r.engine(b, id, bound[i], bound[i+1])
			agent, relay := r.StartAgentWithRelay(b, "agent-"+id)
			agent.AnnounceTarget(b, e.Announcement())
			agent.AwaitReady(b)
			r.engines = append(r.engines, e)
			r.agents = append(r.agents, agent)
			r.relays = append(r.relays, relay)
		}
	}
	for _, id := range []string{"desk-1", "desk-2"} {
		desk, cleanup, err := saddlestandin.NewService(saddlestandin.ServiceConfig{
			Address: "127.0.0.1:0", ID: id, Group: "filing-desk", Version: "1",
			Slots: benchCallers, Incarnation: 1, CallTime: 50 * time.Millisecond,
		})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(cleanup)
		agent := r.StartAgent(b, "agent-"+id, "")
		agent.AnnounceTarget(b, desk.Announcement())
		agent.AwaitReady(b)
	}
	r.awaitTargets(b, len(r.agents)+2)
	return r
}

// busy returns the number of the engine that ran last among those that hold a
// stage of the model.
func (r *recoveryFleet) busy(stage int) int {
	for _, e := range slices.Backward(r.journal.All()) {
		for i := 2 * stage; i < 2*stage+2; i++ {
			if e.Engine == r.engines[i].Announcement().ID {
				return i
			}
		}
	}
	return 2 * stage
}

func (r *recoveryFleet) leader(b *testing.B) int {
	b.Helper()
	state, err := readState(r.Client(b))
	if err != nil {
		b.Fatal(err)
	}
	return slices.IndexFunc(r.Controls, func(p *saddleprocess.Process) bool { return p.Node == leaderOf(state) })
}

func sendDraft(entry string, _ int) error {
	body := fmt.Sprintf(`{"model":"drafting-models","prompt":"the form","max_tokens":%d}`, benchTokens)
	return sendOnce(entry, "/v1/completions", "", body)
}

func sendFiling(entry string, n int) error {
	return sendOnce(entry, "/services/filing-desk/cases", fmt.Sprintf("case-%d", n), `{"case":1}`)
}

func sendOnce(entry, path, key, body string) error {
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

// BenchmarkRecovery measures the time from a fault to the first and the last
// answer of the requests that it slowed, with separate processes:
//
//	go test -run '^$' -bench Recovery -benchtime 1x ./internal/daemon/saddledaemon
//
// The targets are 1 s where a connection resets and 3 s where it falls silent.
func BenchmarkRecovery(b *testing.B) {
	whole := []uint32{0, layers}
	chain := []uint32{0, 2, 4, layers}
	cases := []struct {
		name  string
		bound []uint32
		send  func(entry string, n int) error
		fault func(b *testing.B, r *recoveryFleet)
	}{
		{"engine_killed", whole, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.engines[r.busy(0)].Kill() }},
		{"engine_frozen", whole, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.engines[r.busy(0)].Freeze() }},
		{"agent_killed", whole, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.agents[r.busy(0)].Kill() }},
		{"agent_frozen", whole, sendDraft, func(b *testing.B, r *recoveryFleet) { r.agents[r.busy(0)].Freeze(b) }},
		{"agent_cut", whole, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.relays[r.busy(0)].Block() }},
		{"agent_silent", whole, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.relays[r.busy(0)].DropTraffic() }},
		{"stage_engine_killed", chain, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.engines[r.busy(1)].Kill() }},
		{"stage_agent_killed", chain, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.agents[r.busy(1)].Kill() }},
		{"stage_agent_frozen", chain, sendDraft, func(b *testing.B, r *recoveryFleet) { r.agents[r.busy(1)].Freeze(b) }},
		{"stage_cut", chain, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.relays[r.busy(1)].Block() }},
		{"stage_silent", chain, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.relays[r.busy(1)].DropTraffic() }},
		{"entry_killed", whole, sendDraft, func(_ *testing.B, r *recoveryFleet) { r.entries[1].Kill() }},
		{"leader_killed", whole, sendFiling, func(b *testing.B, r *recoveryFleet) { r.Controls[r.leader(b)].Kill() }},
		{"leader_frozen", whole, sendFiling, func(b *testing.B, r *recoveryFleet) { r.Controls[r.leader(b)].Freeze(b) }},
		{"leader_cut", whole, sendFiling, func(b *testing.B, r *recoveryFleet) { r.controls[r.leader(b)].Block() }},
		{"leader_silent", whole, sendFiling, func(b *testing.B, r *recoveryFleet) { r.controls[r.leader(b)].DropTraffic() }},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				r := newRecoveryFleet(b, c.bound)
				l := startLoad([]string{r.entries[0].Listen, r.entries[1].Listen}, c.send)
				time.Sleep(benchBefore)
				fault := time.Now()
				c.fault(b, r)
				time.Sleep(benchAfter)
				report(b, l.stop(), fault)
			}
		})
	}
}
