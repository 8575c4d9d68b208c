package saddleledger_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/agent/saddleledger"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestate"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	propertySeed   = "20261204"
	propertyChecks = "3000"
	propertySteps  = 150
	// maxHeld bounds how long the network, or a frozen process, holds a copy of
	// a request: tombstones last 24 h.
	maxHeld = 20 * time.Hour
	// maxTime is less than the retention of recorded outcomes.
	maxTime = 40 * time.Hour
)

// phase is what a filing's entry does next.
type phase int

const (
	claiming phase = iota
	takingOver
	dispatching
	waiting
	settling
	ended
)

// filing is one resend of the same keyed request, through some entry.
type filing struct {
	id      string
	phase   phase
	number  uint32
	after   string
	claim   *saddlewire.Claim // its own
	earlier *saddlewire.Claim // the one it takes over
	seen    int64             // time of the log at which it saw the earlier one
	began   time.Duration
	sent    time.Duration
	saidNo  bool
}

// dispatch is a copy of a request on its way to, or at, an agent.
type dispatch struct {
	claim *saddlewire.Claim
	from  *filing
	sent  time.Duration
	to    uint64 // incarnation that a copy was delivered to, 0: none yet
}

// ledgerAgent is an agent: its ledger, and what waits and runs there.
type ledgerAgent struct {
	incarnation uint64
	ledger      *saddleledger.Ledger
	queued      []dispatch
	running     []dispatch
}

// bench is the whole: claims, agents, entries, and a network that delays,
// reorders, copies and loses.
type bench struct {
	now     time.Duration
	index   uint64
	state   *saddlestate.State
	agents  []*ledgerAgent
	filings []*filing
	network []dispatch
	delayed []*saddlewire.Command
	ran     map[string]int // by request
}

func newBench() *bench {
	b := &bench{now: 1000 * time.Hour, state: saddlestate.New(), ran: map[string]int{}}
	for range 2 {
		b.agents = append(b.agents, &ledgerAgent{incarnation: 1, ledger: saddleledger.New()})
	}
	return b
}

func (b *bench) time() time.Time { return time.Unix(0, int64(b.now)) }

func (b *bench) apply(c *saddlewire.Command) *saddlewire.Result {
	b.index++
	c.Request = fmt.Sprint("c", b.index)
	c.NowNs = int64(b.now)
	return b.state.Apply(b.index, c)
}

// notNow is the panic of an action that has nothing to do.
type notNow struct{}

// try carries out an action, or nothing.
func try(t *rapid.T, action func(*rapid.T)) {
	defer func() {
		if r := recover(); r != nil && r != (notNow{}) {
			panic(r)
		}
	}()
	action(t)
}

func pick[T any](t *rapid.T, label string, from []T) (int, T) {
	if len(from) == 0 {
		panic(notNow{})
	}
	i := rapid.IntRange(0, len(from)-1).Draw(t, label)
	return i, from[i]
}

func (b *bench) in(t *rapid.T, p phase) *filing {
	var those []*filing
	for _, f := range b.filings {
		if f.phase == p {
			those = append(those, f)
		}
	}
	_, f := pick(t, "filing", those)
	return f
}

// resend brings the caller back with the same key.
func (b *bench) resend(*rapid.T) {
	b.filings = append(b.filings, &filing{id: fmt.Sprint("r", len(b.filings)+1), number: 1, began: b.now})
}

// open claims the key. The command may be delayed past the entry's patience.
func (b *bench) open(t *rapid.T) {
	f := b.in(t, claiming)
	i, agent := pick(t, "agent", b.agents)
	claim := &saddlewire.Claim{
		Workspace: "w", Key: "k", Digest: "d", Request: f.id, Attempt: f.number,
		Address: fmt.Sprint(i), Incarnation: agent.incarnation,
	}
	c := &saddlewire.Command{Change: &saddlewire.Command_OpenClaim{OpenClaim: &saddlewire.OpenClaim{Claim: claim, After: f.after}}}
	switch rapid.IntRange(0, 5).Draw(t, "commit") {
	case 0: // too late
		b.delayed = append(b.delayed, c)
		f.phase, f.saidNo = ended, true
		return
	case 1: // the answer is lost
		b.apply(c)
		f.phase, f.saidNo = ended, true
		return
	}
	result := b.apply(c)
	earlier := result.GetClaim()
	switch {
	case result.GetAccepted():
		f.claim, f.phase = claim, dispatching
	case earlier.GetState() == saddlestate.ClaimDone:
		f.phase = ended
	default:
		f.earlier, f.seen, f.phase = earlier, result.GetNowNs(), takingOver
	}
}

// commitLate applies a command whose entry has given up.
func (b *bench) commitLate(t *rapid.T) {
	i, c := pick(t, "command", b.delayed)
	b.delayed = append(b.delayed[:i:i], b.delayed[i+1:]...)
	b.apply(c)
}

func (b *bench) dispatch(t *rapid.T) {
	f := b.in(t, dispatching)
	f.phase, f.sent = waiting, b.now
	b.network = append(b.network, dispatch{claim: f.claim, from: f, sent: b.now})
}

// deliver brings a copy to its agent; the network may keep another.
func (b *bench) deliver(t *rapid.T) {
	i, d := pick(t, "copy", b.network)
	agent := b.agentOf(d.claim)
	lost := d.to != 0 && d.to != agent.incarnation // its connection ended with the process that it led to
	if !lost && rapid.Bool().Draw(t, "keep") {
		b.network[i].to = agent.incarnation
	} else {
		b.network = append(b.network[:i:i], b.network[i+1:]...)
	}
	if lost {
		return
	}
	if agent.incarnation != d.claim.GetIncarnation() {
		b.refused(t, d)
		return
	}
	err := agent.ledger.Receive(b.time(), fireflysaddle.RequestID(d.claim.GetRequest()), fireflysaddle.Attempt(d.claim.GetAttempt()), false, b.time().Add(timeout))
	var refusal *fireflysaddle.RefusedError
	switch {
	case err == nil:
		agent.queued = append(agent.queued, d)
	case errors.As(err, &refusal):
		b.refused(t, d)
	}
}

func (b *bench) agentOf(c *saddlewire.Claim) *ledgerAgent {
	if c.GetAddress() == "0" {
		return b.agents[0]
	}
	return b.agents[1]
}

// refused tells the entry that its copy was not run, if it still waits for it.
func (b *bench) refused(t *rapid.T, d dispatch) {
	if f := d.from; f.phase == waiting && f.claim == d.claim {
		b.notRun(t, f)
	}
}

// notRun goes on after the proof that a filing's attempt was not run.
func (b *bench) notRun(t *rapid.T, f *filing) {
	if rapid.Bool().Draw(t, "again") {
		f.after, f.number, f.phase = f.id, f.claim.GetAttempt()+1, claiming
		return
	}
	result := b.apply(&saddlewire.Command{Change: &saddlewire.Command_SettleClaim{SettleClaim: &saddlewire.SettleClaim{
		Workspace: "w", Key: "k", Request: f.id, NotRun: true, Attempt: f.claim.GetAttempt(),
	}}})
	f.phase, f.saidNo = ended, result.GetAccepted()
}

func (b *bench) start(t *rapid.T) {
	_, agent := pick(t, "agent", b.agents)
	i, d := pick(t, "queued", agent.queued)
	agent.queued = append(agent.queued[:i:i], agent.queued[i+1:]...)
	if agent.ledger.Start(b.time(), fireflysaddle.RequestID(d.claim.GetRequest()), fireflysaddle.Attempt(d.claim.GetAttempt())) != nil {
		b.refused(t, d)
		return
	}
	b.ran[d.claim.GetRequest()]++
	agent.running = append(agent.running, d)
}

func (b *bench) finish(t *rapid.T) {
	_, agent := pick(t, "agent", b.agents)
	i, d := pick(t, "running", agent.running)
	agent.running = append(agent.running[:i:i], agent.running[i+1:]...)
	var answer *fireflysaddle.Answer
	if rapid.Bool().Draw(t, "answered") {
		answer = &fireflysaddle.Answer{Status: 201}
	}
	agent.ledger.Finish(fireflysaddle.RequestID(d.claim.GetRequest()), fireflysaddle.Attempt(d.claim.GetAttempt()), answer)
	if f := d.from; f.phase == waiting && f.claim == d.claim && answer != nil {
		b.record(t, f.claim)
		f.phase = ended
	}
}

// record commits the outcome, or loses it.
func (b *bench) record(t *rapid.T, c *saddlewire.Claim) {
	if rapid.Bool().Draw(t, "recorded") {
		b.apply(&saddlewire.Command{Change: &saddlewire.Command_SettleClaim{SettleClaim: &saddlewire.SettleClaim{
			Workspace: "w", Key: "k", Request: c.GetRequest(), Answer: &saddlewire.Answer{Status: 201},
		}}})
	}
}

func (b *bench) breakOff(t *rapid.T) { b.in(t, waiting).phase = settling }

func (b *bench) settle(t *rapid.T) {
	f := b.in(t, settling)
	b.seal(t, f, f.claim, b.now-f.sent, func() { b.notRun(t, f) })
}

func (b *bench) takeOver(t *rapid.T) {
	f := b.in(t, takingOver)
	age := time.Duration(f.seen - f.earlier.GetOpenedNs())
	b.seal(t, f, f.earlier, age+b.now-time.Duration(f.seen), func() {
		f.after, f.number, f.phase = f.earlier.GetRequest(), f.earlier.GetAttempt()+1, claiming
	})
}

func (b *bench) seal(t *rapid.T, f *filing, c *saddlewire.Claim, age time.Duration, sealed func()) {
	agent := b.agentOf(c)
	if agent.incarnation != c.GetIncarnation() {
		f.phase = ended // unknown
		return
	}
	state, answer := agent.ledger.Seal(b.time(), fireflysaddle.RequestID(c.GetRequest()), fireflysaddle.Attempt(c.GetAttempt()), age, 24*time.Hour)
	switch {
	case state == saddleledger.Sealed:
		sealed()
	case state == saddleledger.Running:
	case answer != nil:
		b.record(t, c)
		f.phase = ended
	default:
		f.phase = ended // unknown
	}
}

// seldom leaves an action out most times, so that histories get far.
func seldom(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "seldom") > 0 {
		panic(notNow{})
	}
}

func (b *bench) killEntry(t *rapid.T) {
	seldom(t)
	_, f := pick(t, "filing", b.filings)
	f.phase = ended
}

// restartAgent loses the ledger and the queue; what runs at the target runs on.
func (b *bench) restartAgent(t *rapid.T) {
	seldom(t)
	_, agent := pick(t, "agent", b.agents)
	agent.incarnation++
	agent.ledger = saddleledger.New()
	agent.queued, agent.running = nil, nil
}

func (b *bench) wait(t *rapid.T) {
	seldom(t)
	d := rapid.SampledFrom([]time.Duration{time.Second, timeout, 3 * time.Minute, time.Hour, 7 * time.Hour}).Draw(t, "time")
	if b.now+d > 1000*time.Hour+maxTime {
		panic(notNow{})
	}
	b.now += d
	var kept []dispatch
	for _, copied := range b.network {
		if b.now-copied.sent <= maxHeld {
			kept = append(kept, copied)
		}
	}
	b.network = kept
	for _, f := range b.filings {
		if b.now-f.began > maxHeld {
			f.phase = ended
		}
	}
}

func (b *bench) check(t *rapid.T) {
	total := 0
	for _, n := range b.ran {
		total += n
	}
	if total > 1 {
		t.Fatalf("ran %d times: %v", total, b.ran)
	}
	for _, f := range b.filings {
		if f.saidNo && b.ran[f.id] > 0 {
			t.Fatalf("request %s was said to be not run and ran", f.id)
		}
	}
}

// A keyed request runs at most once, whatever the order of deaths, delays,
// copies, losses, resends and long waits; and "not run" stays true.
func TestKeyedRequestRunsAtMostOnce(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": propertySeed, "rapid.checks": propertyChecks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	executed := 0
	rapid.Check(t, func(t *rapid.T) {
		b := newBench()
		actions := []func(*rapid.T){
			b.open, b.open, b.dispatch, b.dispatch, b.deliver, b.deliver, b.start, b.start,
			b.resend, b.commitLate, b.finish, b.breakOff, b.settle, b.takeOver, b.killEntry, b.restartAgent, b.wait,
		}
		for range propertySteps {
			try(t, actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")])
			b.check(t)
		}
		executed += len(b.ran)
	})
	if executed == 0 {
		t.Error("nothing was run")
	}
	t.Logf("%d of %s histories ran the request", executed, propertyChecks)
}
