package saddlereplica_test

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	tryTimeout  = 250 * time.Millisecond // of one try at one replica
	giveUp      = 4 * time.Second        // of all tries
	pause       = 40 * time.Millisecond  // after a refusal
	claimTime   = 3 * time.Second        // between fresh claim keys
	restTime    = 3 * time.Second        // of work and of rest, in turn
	resendFrom  = 2 * time.Second        // before a late resend
	resendUntil = 10 * time.Second
)

// client asks for one thing after another. A write is resent under its request
// id, mostly through another replica, until it is answered.
type client struct {
	w       *world
	id      int
	count   int
	hist    *history
	known   map[string]uint64 // revisions of templates
	stopped bool
	resends int // late resends that were answered
}

func (w *world) addClient(id int, hist *history) *client {
	c := &client{w: w, id: id, hist: hist, known: map[string]uint64{}}
	c.later()
	return c
}

func (c *client) later() {
	if !c.stopped {
		c.w.after(c.w.between(10*time.Millisecond, 150*time.Millisecond), c.next)
	}
}

func (c *client) next() {
	if (c.w.now.Sub(start)/restTime)%2 == 1 {
		c.later() // all rest: then a replica that missed nothing may be elected
		return
	}
	c.count++
	template := fmt.Sprintf("template-%d", c.w.rng.IntN(3))
	switch p := c.w.rng.Float64(); {
	case p < 0.4:
		base := c.known[template]
		if base > 0 && c.w.chance(0.1) {
			base--
		}
		c.put(ask{kind: putKind, key: template, base: base, text: c.unique()})
	case p < 0.8:
		c.read(ask{kind: readKind, key: template})
	default:
		c.open(ask{kind: openKind, key: fmt.Sprintf("claim-%d", c.w.now.Sub(start)/claimTime), text: c.unique()})
	}
}

func (c *client) unique() string { return fmt.Sprintf("client %d, number %d", c.id, c.count) }

func (c *client) put(in ask) {
	command := putCommand(in.text, in.key, in.base)
	c.write(in, command, func(r *saddlewire.Result) told {
		c.known[in.key] = r.GetRevision()
		if r.GetAccepted() {
			c.w.noteAcked(r.GetIndex())
		}
		c.resendLate(command, r)
		return told{accepted: r.GetAccepted(), revision: r.GetRevision()}
	}, c.later)
}

// putCommand returns the command for a revision of a template whose body ends
// in a text.
func putCommand(request, template string, base uint64) *saddlewire.Command {
	return &saddlewire.Command{Request: request, Change: &saddlewire.Command_PutTemplate{
		PutTemplate: &saddlewire.PutTemplate{Name: template, Base: base, Body: bodyStart + request},
	}}
}

const bodyStart = "deployment = {models = [{name = \"m\"}]}\n# "

func (c *client) open(in ask) {
	claim := &saddlewire.Claim{
		Workspace: "w", Key: in.key, Digest: "d", Request: in.text, Attempt: 1, Target: "t", Address: "a", Incarnation: 1,
	}
	command := &saddlewire.Command{Request: in.text, NowNs: c.w.now.UnixNano(), Change: &saddlewire.Command_OpenClaim{
		OpenClaim: &saddlewire.OpenClaim{Claim: claim},
	}}
	won := false
	c.write(in, command, func(r *saddlewire.Result) told {
		won = r.GetAccepted()
		return told{accepted: won, text: r.GetClaim().GetRequest(), done: r.GetClaim().GetState() == "done"}
	}, func() {
		if won {
			c.settle(in)
			return
		}
		c.later()
	})
}

func (c *client) settle(opened ask) {
	in := ask{kind: settleKind, key: opened.key, text: opened.text}
	command := &saddlewire.Command{Request: in.text + ", settled", NowNs: c.w.now.UnixNano(), Change: &saddlewire.Command_SettleClaim{
		SettleClaim: &saddlewire.SettleClaim{
			Workspace: "w", Key: in.key, Request: in.text, Attempt: 1,
			Answer: &saddlewire.Answer{Status: 200, Body: []byte(in.text)},
		},
	}}
	c.write(in, command, func(r *saddlewire.Result) told {
		return told{accepted: r.GetAccepted()}
	}, c.later)
}

// write asks until it is answered or given up, notes it and goes on.
func (c *client) write(in ask, command *saddlewire.Command, read func(*saddlewire.Result) told, then func()) {
	call := c.w.now
	maybe, over := false, false
	c.tries(call, func(to *node, answered func()) {
		to.submit(command, func(out *saddlewire.SubmitResponse) {
			c.w.reply(func() {
				if over {
					return
				}
				if out.GetResult() == nil {
					maybe = maybe || !out.GetRefused()
					return
				}
				over = true
				c.hist.add(c.id, call, c.w.now, in, read(out.GetResult()))
				answered()
				then()
			})
		})
	}, func() { maybe = true }, func() {
		over = true
		if maybe {
			c.hist.add(c.id, call, c.w.now, in, told{unknown: true})
		}
		then()
	})
}

func (c *client) read(in ask) {
	call := c.w.now
	over := false
	c.tries(call, func(to *node, answered func()) {
		to.read(func(out *saddlewire.ReadResponse) {
			c.w.reply(func() {
				if over || !out.GetCurrent() {
					return
				}
				over = true
				got := found(out, in.key)
				c.known[in.key] = got.revision
				c.hist.add(c.id, call, c.w.now, in, got)
				answered()
				c.later()
			})
		})
	}, func() {}, func() {
		over = true
		c.later()
	})
}

// tries asks one replica after another. lost is called for each request whose
// answer may have been lost, ended when all tries are over.
func (c *client) tries(call time.Time, try func(to *node, answered func()), lost, ended func()) {
	over := false
	var once func()
	once = func() {
		if over {
			return
		}
		if c.w.now.Sub(call) > giveUp {
			over = true
			ended()
			return
		}
		to := c.w.nodes[c.w.rng.IntN(len(c.w.nodes))]
		if l := c.w.leader(); l != nil && c.w.chance(0.6) {
			to = l
		}
		c.w.after(c.w.travel(), func() {
			to.receive(func() { lost(); try(to, func() { over = true }) }, func() {})
		})
		c.w.after(c.w.between(pause, tryTimeout), once)
	}
	once()
}

// reply carries an answer to a client, or loses it.
func (w *world) reply(run func()) {
	if !w.chance(w.loss) {
		w.after(w.travel(), run)
	}
}

// probe reads one template from each replica again and again and takes whatever
// answer comes, however late.
func (w *world) probe(hist *history) {
	const client, every = 100, 40 * time.Millisecond
	in := ask{kind: readKind, key: "template-0"}
	call := w.now
	for _, n := range w.nodes {
		w.after(w.travel(), func() {
			n.receive(func() {
				n.read(func(out *saddlewire.ReadResponse) {
					if !out.GetCurrent() {
						return
					}
					got := found(out, in.key)
					w.after(w.travel(), func() { hist.add(client, call, w.now, in, got) })
				})
			}, func() {})
		})
	}
	w.after(every, func() { w.probe(hist) })
}

func found(out *saddlewire.ReadResponse, name string) told {
	for _, t := range out.GetTemplates() {
		if t.GetName() == name {
			return told{revision: t.GetRevision(), text: t.GetBody()[len(bodyStart):]}
		}
	}
	return told{}
}

// resendLate asks once more, long after the answer, and compares.
func (c *client) resendLate(command *saddlewire.Command, first *saddlewire.Result) {
	if !c.w.chance(0.2) {
		return
	}
	c.w.after(c.w.between(resendFrom, resendUntil), func() {
		over := false
		c.tries(c.w.now, func(to *node, answered func()) {
			to.submit(command, func(out *saddlewire.SubmitResponse) {
				again := out.GetResult()
				if over || again == nil {
					return
				}
				over = true
				c.resends++
				answered()
				if !proto.Equal(first, again) {
					c.w.fail(fmt.Sprintf("the resend of %q is answered %v, first %v", command.GetRequest(), again, first))
				}
			})
		}, func() {}, func() {})
	})
}
