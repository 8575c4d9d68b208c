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
	// maxDelay bounds how long the network or a suspended process delays a copy of a
	// request. It is shorter than the 24 h for which tombstones are kept.
	maxDelay = 20 * time.Hour
	// maxDuration bounds the virtual time of a history, which is one random sequence of
	// actions. It is shorter than the retention of recorded outcomes.
	maxDuration = 40 * time.Hour
)

// phase is the state of the entry that handles a submission of the keyed request.
type phase int

const (
	claiming phase = iota
	takingOver
	dispatching
	waiting
	disconnected
	ended
)

// keyedRequest is one submission of the keyed request through an entry. All
// submissions have the same key.
type keyedRequest struct {
	id             string
	phase          phase
	attempt        uint32
	notRunRequest  string            // request ID of the attempt that was proved not run, if any
	claim          *saddlewire.Claim // claim of this submission
	existing       *saddlewire.Claim // claim of an earlier submission, to be taken over
	existingSeenNs int64             // log time at which the earlier claim was read; log time is the latest time that a command carried
	startedAt      time.Duration
	sentAt         time.Duration
	reportedNotRun bool
}

// dispatch is a copy of a request in the network or at an agent.
type dispatch struct {
	claim       *saddlewire.Claim
	origin      *keyedRequest
	sentAt      time.Duration
	deliveredTo uint64 // incarnation of the agent that received a copy, or 0
}

// simulatedAgent is an agent with its ledger and its queued and running requests.
type simulatedAgent struct {
	incarnation uint64
	ledger      *saddleledger.Ledger
	queued      []dispatch
	running     []dispatch
}

// simulation holds claims, agents and entries in virtual time, and a network that
// delays, reorders, duplicates and loses messages.
type simulation struct {
	now             time.Duration
	index           uint64
	state           *saddlestate.State
	agents          []*simulatedAgent
	requests        []*keyedRequest
	network         []dispatch
	delayedCommands []*saddlewire.Command
	executions      map[string]int // number of executions by request ID
}

func newSimulation() *simulation {
	s := &simulation{now: 1000 * time.Hour, state: saddlestate.New(), executions: map[string]int{}}
	for range 2 {
		s.agents = append(s.agents, &simulatedAgent{incarnation: 1, ledger: saddleledger.New()})
	}
	return s
}

func (s *simulation) time() time.Time { return time.Unix(0, int64(s.now)) }

func (s *simulation) apply(c *saddlewire.Command) *saddlewire.Result {
	s.index++
	c.Request = fmt.Sprint("c", s.index)
	c.NowNs = int64(s.now)
	return s.state.Apply(s.index, c)
}

// notApplicable is the panic value of an action that is not possible in the current
// state.
type notApplicable struct{}

// tryAction runs an action, and skips it if it is not applicable.
func tryAction(t *rapid.T, action func(*rapid.T)) {
	defer func() {
		if r := recover(); r != nil && r != (notApplicable{}) {
			panic(r)
		}
	}()
	action(t)
}

// pick draws one of the candidates and returns its index and value. It panics with
// notApplicable if there are none.
func pick[T any](t *rapid.T, label string, candidates []T) (int, T) {
	if len(candidates) == 0 {
		panic(notApplicable{})
	}
	i := rapid.IntRange(0, len(candidates)-1).Draw(t, label)
	return i, candidates[i]
}

// inPhase draws a submission that is in a phase. It panics with notApplicable if
// there is none.
func (s *simulation) inPhase(t *rapid.T, p phase) *keyedRequest {
	var matching []*keyedRequest
	for _, r := range s.requests {
		if r.phase == p {
			matching = append(matching, r)
		}
	}
	_, r := pick(t, "keyed request", matching)
	return r
}

// resend adds a submission with the same key.
func (s *simulation) resend(*rapid.T) {
	s.requests = append(s.requests, &keyedRequest{id: fmt.Sprint("r", len(s.requests)+1), attempt: 1, startedAt: s.now})
}

// openClaim claims the key. The command may be committed after the entry has given
// up, and its result may be lost.
func (s *simulation) openClaim(t *rapid.T) {
	r := s.inPhase(t, claiming)
	i, agent := pick(t, "agent", s.agents)
	claim := &saddlewire.Claim{
		Workspace: "w", Key: "k", Digest: "d", Request: r.id, Attempt: r.attempt,
		Address: fmt.Sprint(i), Incarnation: agent.incarnation,
	}
	c := &saddlewire.Command{Change: &saddlewire.Command_OpenClaim{OpenClaim: &saddlewire.OpenClaim{Claim: claim, After: r.notRunRequest}}}
	switch rapid.IntRange(0, 5).Draw(t, "commit") {
	case 0: // committed after the entry has given up, by commitDelayed
		s.delayedCommands = append(s.delayedCommands, c)
		r.phase, r.reportedNotRun = ended, true
		return
	case 1: // committed, but the result is lost
		s.apply(c)
		r.phase, r.reportedNotRun = ended, true
		return
	}
	result := s.apply(c)
	existing := result.GetClaim()
	switch {
	case result.GetAccepted():
		r.claim, r.phase = claim, dispatching
	case existing.GetState() == saddlestate.ClaimDone:
		r.phase = ended
	default:
		r.existing, r.existingSeenNs, r.phase = existing, result.GetNowNs(), takingOver
	}
}

// commitDelayed commits a command after its entry has given up.
func (s *simulation) commitDelayed(t *rapid.T) {
	i, c := pick(t, "command", s.delayedCommands)
	s.delayedCommands = append(s.delayedCommands[:i:i], s.delayedCommands[i+1:]...)
	s.apply(c)
}

func (s *simulation) dispatch(t *rapid.T) {
	r := s.inPhase(t, dispatching)
	r.phase, r.sentAt = waiting, s.now
	s.network = append(s.network, dispatch{claim: r.claim, origin: r, sentAt: s.now})
}

// deliver hands a copy to its agent. The network may keep a further copy.
func (s *simulation) deliver(t *rapid.T) {
	i, d := pick(t, "copy", s.network)
	agent := s.agentOf(d.claim)
	lost := d.deliveredTo != 0 && d.deliveredTo != agent.incarnation // the connection on which the copy was sent ended with the agent's process
	if !lost && rapid.Bool().Draw(t, "keep") {
		s.network[i].deliveredTo = agent.incarnation
	} else {
		s.network = append(s.network[:i:i], s.network[i+1:]...)
	}
	if lost {
		return
	}
	if agent.incarnation != d.claim.GetIncarnation() {
		s.reportRefusal(t, d)
		return
	}
	err := agent.ledger.Receive(s.time(), fireflysaddle.RequestID(d.claim.GetRequest()), fireflysaddle.Attempt(d.claim.GetAttempt()), false, s.time().Add(timeout))
	var refusal *fireflysaddle.RefusedError
	switch {
	case err == nil:
		agent.queued = append(agent.queued, d)
	case errors.As(err, &refusal):
		s.reportRefusal(t, d)
	}
}

func (s *simulation) agentOf(c *saddlewire.Claim) *simulatedAgent {
	if c.GetAddress() == "0" {
		return s.agents[0]
	}
	return s.agents[1]
}

// reportRefusal reports to the entry that its copy was not run, if the entry still
// waits for the outcome.
func (s *simulation) reportRefusal(t *rapid.T, d dispatch) {
	if r := d.origin; r.phase == waiting && r.claim == d.claim {
		s.handleNotRun(t, r)
	}
}

// handleNotRun retries or ends a request whose attempt is proved not to have been
// run.
func (s *simulation) handleNotRun(t *rapid.T, r *keyedRequest) {
	if rapid.Bool().Draw(t, "again") {
		r.notRunRequest, r.attempt, r.phase = r.id, r.claim.GetAttempt()+1, claiming
		return
	}
	result := s.apply(&saddlewire.Command{Change: &saddlewire.Command_SettleClaim{SettleClaim: &saddlewire.SettleClaim{
		Workspace: "w", Key: "k", Request: r.id, NotRun: true, Attempt: r.claim.GetAttempt(),
	}}})
	r.phase, r.reportedNotRun = ended, result.GetAccepted()
}

func (s *simulation) start(t *rapid.T) {
	_, agent := pick(t, "agent", s.agents)
	i, d := pick(t, "queued", agent.queued)
	agent.queued = append(agent.queued[:i:i], agent.queued[i+1:]...)
	if agent.ledger.Start(s.time(), fireflysaddle.RequestID(d.claim.GetRequest()), fireflysaddle.Attempt(d.claim.GetAttempt())) != nil {
		s.reportRefusal(t, d)
		return
	}
	s.executions[d.claim.GetRequest()]++
	agent.running = append(agent.running, d)
}

func (s *simulation) finish(t *rapid.T) {
	_, agent := pick(t, "agent", s.agents)
	i, d := pick(t, "running", agent.running)
	agent.running = append(agent.running[:i:i], agent.running[i+1:]...)
	var answer *fireflysaddle.Answer
	if rapid.Bool().Draw(t, "answered") {
		answer = &fireflysaddle.Answer{Status: 201}
	}
	agent.ledger.Finish(fireflysaddle.RequestID(d.claim.GetRequest()), fireflysaddle.Attempt(d.claim.GetAttempt()), answer)
	if r := d.origin; r.phase == waiting && r.claim == d.claim && answer != nil {
		s.settleClaim(t, r.claim)
		r.phase = ended
	}
}

// settleClaim commits the outcome of a claim, or loses the command.
func (s *simulation) settleClaim(t *rapid.T, c *saddlewire.Claim) {
	if rapid.Bool().Draw(t, "recorded") {
		s.apply(&saddlewire.Command{Change: &saddlewire.Command_SettleClaim{SettleClaim: &saddlewire.SettleClaim{
			Workspace: "w", Key: "k", Request: c.GetRequest(), Answer: &saddlewire.Answer{Status: 201},
		}}})
	}
}

func (s *simulation) loseConnection(t *rapid.T) { s.inPhase(t, waiting).phase = disconnected }

// sealOwn seals the request of an entry that has lost its connection to the agent,
// to determine whether the request was run.
func (s *simulation) sealOwn(t *rapid.T) {
	r := s.inPhase(t, disconnected)
	s.seal(t, r, r.claim, s.now-r.sentAt, func() { s.handleNotRun(t, r) })
}

// takeOver seals the request of an earlier submission that holds the claim. If this
// request was not run, the later submission claims the key.
func (s *simulation) takeOver(t *rapid.T) {
	r := s.inPhase(t, takingOver)
	age := time.Duration(r.existingSeenNs - r.existing.GetOpenedNs())
	s.seal(t, r, r.existing, age+s.now-time.Duration(r.existingSeenNs), func() {
		r.notRunRequest, r.attempt, r.phase = r.existing.GetRequest(), r.existing.GetAttempt()+1, claiming
	})
}

// seal seals the request of a claim at its agent. It calls onSealed if the request is
// proved not to have been run, and ends r if the outcome is known or will stay
// unknown. While the request is running, r stays in its phase.
func (s *simulation) seal(t *rapid.T, r *keyedRequest, c *saddlewire.Claim, age time.Duration, onSealed func()) {
	agent := s.agentOf(c)
	if agent.incarnation != c.GetIncarnation() {
		r.phase = ended // outcome unknown
		return
	}
	state, answer := agent.ledger.Seal(s.time(), fireflysaddle.RequestID(c.GetRequest()), fireflysaddle.Attempt(c.GetAttempt()), age, 24*time.Hour)
	switch {
	case state == saddleledger.Sealed:
		onSealed()
	case state == saddleledger.Running:
	case answer != nil:
		s.settleClaim(t, c)
		r.phase = ended
	default:
		r.phase = ended // outcome unknown
	}
}

// skipThreeInFour skips an action in three of four cases, so that histories make
// progress.
func skipThreeInFour(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "seldom") > 0 {
		panic(notApplicable{})
	}
}

// abandonSubmission ends a submission without a result, as a crash of its entry does.
func (s *simulation) abandonSubmission(t *rapid.T) {
	skipThreeInFour(t)
	_, r := pick(t, "keyed request", s.requests)
	r.phase = ended
}

// restartAgent discards the ledger and the queue. Requests that have reached the
// target are not undone.
func (s *simulation) restartAgent(t *rapid.T) {
	skipThreeInFour(t)
	_, agent := pick(t, "agent", s.agents)
	agent.incarnation++
	agent.ledger = saddleledger.New()
	agent.queued, agent.running = nil, nil
}

// wait advances the time. It drops copies older than maxDelay from the network and
// ends submissions older than maxDelay.
func (s *simulation) wait(t *rapid.T) {
	skipThreeInFour(t)
	d := rapid.SampledFrom([]time.Duration{time.Second, timeout, 3 * time.Minute, time.Hour, 7 * time.Hour}).Draw(t, "time")
	if s.now+d > 1000*time.Hour+maxDuration {
		panic(notApplicable{})
	}
	s.now += d
	var remaining []dispatch
	for _, inTransit := range s.network {
		if s.now-inTransit.sentAt <= maxDelay {
			remaining = append(remaining, inTransit)
		}
	}
	s.network = remaining
	for _, r := range s.requests {
		if s.now-r.startedAt > maxDelay {
			r.phase = ended
		}
	}
}

func (s *simulation) check(t *rapid.T) {
	total := 0
	for _, n := range s.executions {
		total += n
	}
	if total > 1 {
		t.Fatalf("the keyed request was run %d times: %v", total, s.executions)
	}
	for _, r := range s.requests {
		if r.reportedNotRun && s.executions[r.id] > 0 {
			t.Fatalf("request %s was reported as not run, but was run", r.id)
		}
	}
}

// A keyed request must run at most once, and a request that was reported as not run
// must never run, under any sequence of crashes, delays, duplicated and lost
// messages, resends and long waits.
func TestKeyedRequestRunsAtMostOnce(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": propertySeed, "rapid.checks": propertyChecks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	executed := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		actions := []func(*rapid.T){
			s.openClaim, s.openClaim, s.dispatch, s.dispatch, s.deliver, s.deliver, s.start, s.start,
			s.resend, s.commitDelayed, s.finish, s.loseConnection, s.sealOwn, s.takeOver, s.abandonSubmission, s.restartAgent, s.wait,
		}
		for range propertySteps {
			tryAction(t, actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")])
			s.check(t)
		}
		executed += len(s.executions)
	})
	if executed == 0 {
		t.Error("no history ran the request")
	}
	t.Logf("%d of %s histories ran the request", executed, propertyChecks)
}
