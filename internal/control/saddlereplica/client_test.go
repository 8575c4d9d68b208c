package saddlereplica_test

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	maxRetryDelay  = 250 * time.Millisecond // longest delay before the next attempt
	requestTimeout = 4 * time.Second        // limit on the total time of all attempts of a request
	minRetryDelay  = 40 * time.Millisecond  // shortest delay before the next attempt
	claimKeyPeriod = 3 * time.Second        // time between new claim keys
	activityPeriod = 3 * time.Second        // length of alternating active and idle periods
	minResendDelay = 2 * time.Second        // bounds of the delay before a late resend
	maxResendDelay = 10 * time.Second
)

// client sends one request after another. A write is resent under its request
// id, often through another replica, until it is answered or times out.
type client struct {
	sim            *simulation
	id             int
	operationCount int
	hist           *history
	knownRevisions map[string]uint64 // latest known revision of each template
	stopped        bool
	resends        int // late resends that were answered
}

func (sim *simulation) addClient(id int, hist *history) *client {
	c := &client{sim: sim, id: id, hist: hist, knownRevisions: map[string]uint64{}}
	c.scheduleNext()
	return c
}

func (c *client) scheduleNext() {
	if !c.stopped {
		c.sim.schedule(c.sim.randomDuration(10*time.Millisecond, 150*time.Millisecond), c.startOperation)
	}
}

func (c *client) startOperation() {
	if (c.sim.now.Sub(start)/activityPeriod)%2 == 1 {
		c.scheduleNext() // idle period; without new entries, a replica's log stays up to date, so it can be elected
		return
	}
	c.operationCount++
	template := fmt.Sprintf("template-%d", c.sim.rng.IntN(3))
	switch p := c.sim.rng.Float64(); {
	case p < 0.4:
		base := c.knownRevisions[template]
		if base > 0 && c.sim.chance(0.1) {
			base--
		}
		c.putTemplate(opInput{kind: putOp, key: template, base: base, text: c.uniqueText()})
	case p < 0.8:
		c.readTemplate(opInput{kind: readOp, key: template})
	default:
		c.openClaim(opInput{kind: openOp, key: fmt.Sprintf("claim-%d", c.sim.now.Sub(start)/claimKeyPeriod), text: c.uniqueText()})
	}
}

func (c *client) uniqueText() string {
	return fmt.Sprintf("client %d, number %d", c.id, c.operationCount)
}

func (c *client) putTemplate(in opInput) {
	command := putCommand(in.text, in.key, in.base)
	c.write(in, command, func(r *saddlewire.Result) opOutput {
		c.knownRevisions[in.key] = r.GetRevision()
		if r.GetAccepted() {
			c.sim.recordAcked(r.GetIndex())
		}
		c.scheduleResend(command, r)
		return opOutput{accepted: r.GetAccepted(), revision: r.GetRevision()}
	}, c.scheduleNext)
}

// putCommand returns the command for a template revision whose body ends in the
// request id.
func putCommand(request, template string, base uint64) *saddlewire.Command {
	return &saddlewire.Command{Request: request, Change: &saddlewire.Command_PutTemplate{
		PutTemplate: &saddlewire.PutTemplate{Name: template, Base: base, Body: bodyStart + request},
	}}
}

const bodyStart = "deployment = {models = [{name = \"m\"}]}\n# "

func (c *client) openClaim(in opInput) {
	claim := &saddlewire.Claim{
		Workspace: "w", Key: in.key, Digest: "d", Request: in.text, Attempt: 1, Target: "t", Address: "a", Incarnation: 1,
	}
	command := &saddlewire.Command{Request: in.text, NowNs: c.sim.now.UnixNano(), Change: &saddlewire.Command_OpenClaim{
		OpenClaim: &saddlewire.OpenClaim{Claim: claim},
	}}
	accepted := false
	c.write(in, command, func(r *saddlewire.Result) opOutput {
		accepted = r.GetAccepted()
		return opOutput{accepted: accepted, text: r.GetClaim().GetRequest(), done: r.GetClaim().GetState() == "done"}
	}, func() {
		if accepted {
			c.settleClaim(in)
			return
		}
		c.scheduleNext()
	})
}

func (c *client) settleClaim(opened opInput) {
	in := opInput{kind: settleOp, key: opened.key, text: opened.text}
	command := &saddlewire.Command{Request: in.text + ", settled", NowNs: c.sim.now.UnixNano(), Change: &saddlewire.Command_SettleClaim{
		SettleClaim: &saddlewire.SettleClaim{
			Workspace: "w", Key: in.key, Request: in.text, Attempt: 1,
			Answer: &saddlewire.Answer{Status: 200, Body: []byte(in.text)},
		},
	}}
	c.write(in, command, func(r *saddlewire.Result) opOutput {
		return opOutput{accepted: r.GetAccepted()}
	}, c.scheduleNext)
}

// write sends a command until it is answered or times out, and then calls whenDone.
// It records the answer. After a timeout it records an unknown outcome if the
// command may have run, and nothing otherwise.
func (c *client) write(in opInput, command *saddlewire.Command, toOutput func(*saddlewire.Result) opOutput, whenDone func()) {
	call := c.sim.now
	mayHaveRun, finished := false, false
	c.retry(call, func(to *node, answered func()) {
		to.submit(command, func(out *saddlewire.SubmitResponse) {
			c.sim.deliverReply(func() {
				if finished {
					return
				}
				if out.GetResult() == nil {
					mayHaveRun = mayHaveRun || !out.GetRefused()
					return
				}
				finished = true
				c.hist.add(c.id, call, c.sim.now, in, toOutput(out.GetResult()))
				answered()
				whenDone()
			})
		})
	}, func() { mayHaveRun = true }, func() {
		finished = true
		if mayHaveRun {
			c.hist.add(c.id, call, c.sim.now, in, opOutput{unknown: true})
		}
		whenDone()
	})
}

func (c *client) readTemplate(in opInput) {
	call := c.sim.now
	finished := false
	c.retry(call, func(to *node, answered func()) {
		to.read(func(out *saddlewire.ReadResponse) {
			c.sim.deliverReply(func() {
				if finished || !out.GetCurrent() {
					return
				}
				finished = true
				got := findTemplate(out, in.key)
				c.knownRevisions[in.key] = got.revision
				c.hist.add(c.id, call, c.sim.now, in, got)
				answered()
				c.scheduleNext()
			})
		})
	}, func() {}, func() {
		finished = true
		c.scheduleNext()
	})
}

// retry sends a request to one random replica after another. arrived is called for
// each attempt that reaches a replica, because its answer may be lost. timedOut is
// called when the request has timed out.
func (c *client) retry(call time.Time, send func(to *node, answered func()), arrived, timedOut func()) {
	finished := false
	var attempt func()
	attempt = func() {
		if finished {
			return
		}
		if c.sim.now.Sub(call) > requestTimeout {
			finished = true
			timedOut()
			return
		}
		to := c.sim.nodes[c.sim.rng.IntN(len(c.sim.nodes))]
		if l := c.sim.leader(); l != nil && c.sim.chance(0.6) {
			to = l
		}
		c.sim.schedule(c.sim.messageDelay(), func() {
			to.receive(func() { arrived(); send(to, func() { finished = true }) }, func() {})
		})
		c.sim.schedule(c.sim.randomDuration(minRetryDelay, maxRetryDelay), attempt)
	}
	attempt()
}

// deliverReply delivers an answer to a client after a delay, or drops it.
func (sim *simulation) deliverReply(run func()) {
	if !sim.chance(sim.lossRate) {
		sim.schedule(sim.messageDelay(), run)
	}
}

// probeReplicas periodically reads one template from each replica and records
// each answer, however late it arrives.
func (sim *simulation) probeReplicas(hist *history) {
	const client, interval = 100, 40 * time.Millisecond
	in := opInput{kind: readOp, key: "template-0"}
	call := sim.now
	for _, n := range sim.nodes {
		sim.schedule(sim.messageDelay(), func() {
			n.receive(func() {
				n.read(func(out *saddlewire.ReadResponse) {
					if !out.GetCurrent() {
						return
					}
					got := findTemplate(out, in.key)
					sim.schedule(sim.messageDelay(), func() { hist.add(client, call, sim.now, in, got) })
				})
			}, func() {})
		})
	}
	sim.schedule(interval, func() { sim.probeReplicas(hist) })
}

func findTemplate(out *saddlewire.ReadResponse, name string) opOutput {
	for _, t := range out.GetTemplates() {
		if t.GetName() == name {
			return opOutput{revision: t.GetRevision(), text: t.GetBody()[len(bodyStart):]}
		}
	}
	return opOutput{}
}

// scheduleResend sometimes resends an answered command after a long delay and
// checks that the result is the same.
func (c *client) scheduleResend(command *saddlewire.Command, first *saddlewire.Result) {
	if !c.sim.chance(0.2) {
		return
	}
	c.sim.schedule(c.sim.randomDuration(minResendDelay, maxResendDelay), func() {
		finished := false
		c.retry(c.sim.now, func(to *node, answered func()) {
			to.submit(command, func(out *saddlewire.SubmitResponse) {
				resent := out.GetResult()
				if finished || resent == nil {
					return
				}
				finished = true
				c.resends++
				answered()
				if !proto.Equal(first, resent) {
					c.sim.addViolation(fmt.Sprintf("the resend of %q returned %v, the first request %v", command.GetRequest(), resent, first))
				}
			})
		}, func() {}, func() {})
	})
}
