package saddleadmission_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddleadmission"
)

var start = time.Unix(1_800_000_000, 0)

const (
	step       = 10 * time.Millisecond
	streamTime = 3 * time.Second // on average; from half to one and a half times that
	capacity   = 30_000          // tokens, thirty streams of the usual size
	usual      = 1000
	objective  = 500 * time.Millisecond
	patience   = 1400 * time.Millisecond
	timeLeft   = 20 * time.Second
)

// arrivals are the requests of one route and workspace.
type arrivals struct {
	route     string
	workspace fireflysaddle.Workspace
	rank      saddleadmission.Rank
	tokens    saddleadmission.Tokens
	perSecond float64
	from, to  time.Duration
	hasty     bool // its callers return at once
}

// tally is what became of the requests of one route and workspace.
type tally struct {
	arrived, onTime, late, refused int
	returned, servedOnReturn       int // callers that came back once
}

func (t *tally) served() int { return t.onTime + t.late }

// caller is a request in progress.
type caller struct {
	*tally
	request saddleadmission.Request
	first   time.Time
	returns bool // this is its second request
	hasty   bool
	due     time.Time // of its return, or of the end of its stream
}

// pool is one entry with room for thirty usual streams.
type pool struct {
	queue        *saddleadmission.Queue
	now          time.Time
	ticket       saddleadmission.Ticket
	used         saddleadmission.Tokens
	waiting      map[saddleadmission.Ticket]*caller
	running      []*caller // until their streams end
	away         []*caller // until they return
	draw, length float64   // of sequences that spread evenly
}

// load plays arrivals for a duration, and returns what became of the callers by route and
// workspace. Callers return once.
func load(duration time.Duration, all ...arrivals) map[string]*tally {
	p := &pool{queue: saddleadmission.New(), waiting: map[saddleadmission.Ticket]*caller{}}
	out := map[string]*tally{}
	sent := make([]float64, len(all))
	for p.now = start; p.now.Before(start.Add(duration)); p.now = p.now.Add(step) {
		p.draw = math.Mod(p.draw+math.Phi, 1)
		p.running = sweep(p.running, p.now, func(c *caller) { p.used -= c.request.Tokens })
		p.away = sweep(p.away, p.now, func(c *caller) {
			c.returns = true
			c.returned++
			p.join(c)
		})
		for i, a := range all {
			if at := p.now.Sub(start); at < a.from || (a.to > 0 && at >= a.to) {
				continue
			}
			name := fmt.Sprintf("%s/%s", a.route, a.workspace)
			if out[name] == nil {
				out[name] = &tally{}
			}
			for sent[i] += a.perSecond * step.Seconds(); sent[i] >= 1; sent[i]-- {
				out[name].arrived++
				p.join(&caller{tally: out[name], first: p.now, hasty: a.hasty, request: saddleadmission.Request{
					Rank: a.rank, Route: a.route, Workspace: a.workspace, Tokens: a.tokens, Fingerprint: fmt.Sprint(name, out[name].arrived),
				}})
			}
		}
		p.dispatch()
	}
	return out
}

func (p *pool) room() saddleadmission.Room {
	return saddleadmission.Room{Capacity: capacity, Free: capacity - p.used, Rate: capacity / streamTime.Seconds(), Entries: 1}
}

func (p *pool) join(c *caller) {
	p.ticket++
	r := &c.request
	r.Ticket, r.OnTime, r.Until, r.Deadline, r.Elapsed = p.ticket, c.first.Add(objective), p.now.Add(patience), c.first.Add(timeLeft), p.now.Sub(c.first)
	if d := p.queue.Join(p.now, *r, p.room(), p.draw); d.Refused {
		p.refuse(c, d.RetryAfter)
		return
	}
	p.waiting[p.ticket] = c
}

func (p *pool) refuse(c *caller, after time.Duration) {
	if c.refused++; c.returns {
		return
	}
	if c.hasty {
		after = step
	}
	c.due = p.now.Add(after)
	p.away = append(p.away, c)
}

// dispatch lets requests begin while there is room, and refuses those that may wait no longer.
func (p *pool) dispatch() {
	for {
		ticket, _, ok := p.queue.Next(p.now, p.room())
		if !ok || p.waiting[ticket].request.Tokens > p.room().Free {
			break
		}
		p.queue.Begin(p.now, ticket)
		p.begin(p.waiting[ticket])
		delete(p.waiting, ticket)
	}
	for {
		ticket, d, ok := p.queue.Expire(p.now, p.room(), p.draw)
		if !ok {
			return
		}
		p.refuse(p.waiting[ticket], d.RetryAfter)
		delete(p.waiting, ticket)
	}
}

func (p *pool) begin(c *caller) {
	p.length = math.Mod(p.length+math.Phi, 1)
	p.used += c.request.Tokens
	c.due = p.now.Add(streamTime/2 + time.Duration(p.length*float64(streamTime)))
	p.running = append(p.running, c)
	if c.returns {
		c.servedOnReturn++
	}
	if p.now.Before(c.first.Add(objective)) {
		c.onTime++
	} else {
		c.late++
	}
}

// sweep calls do for the callers that are due, and returns the others.
func sweep(list []*caller, now time.Time, do func(c *caller)) []*caller {
	var out, due []*caller
	for _, c := range list {
		if c.due.After(now) {
			out = append(out, c)
		} else {
			due = append(due, c)
		}
	}
	for _, c := range due {
		do(c)
	}
	return out
}

// Load: urgent burst over batch burst. Both have more demand than there is room for together;
// the urgent one fits alone.
func TestUrgentBurstOverBatchBurst(t *testing.T) {
	is := is.New(t)
	out := load(12*time.Second,
		arrivals{route: "batch", rank: 1, tokens: usual, perSecond: 8, to: 8 * time.Second},
		arrivals{route: "urgent", rank: 0, tokens: usual, perSecond: 2},
		arrivals{route: "urgent", rank: 0, tokens: usual, perSecond: 6, from: 2 * time.Second, to: 5 * time.Second},
	)
	urgent, batch := out["urgent/"], out["batch/"]
	is.True(float64(urgent.onTime) >= 0.9*float64(urgent.arrived)) // the urgent burst is on time
	is.True(float64(batch.served()) >= 0.8*float64(batch.arrived)) // the batch waits or returns
}

// Load: demand over room for good.
func TestDemandOverRoomForGood(t *testing.T) {
	is := is.New(t)
	out := load(20*time.Second,
		arrivals{route: "urgent", rank: 0, tokens: usual, perSecond: 9},
		arrivals{route: "batch", rank: 1, tokens: usual, perSecond: 9},
	)
	urgent, batch := out["urgent/"], out["batch/"]
	is.True(urgent.served()+batch.served() >= 180) // the room is used: 200 streams have room
	share := func(x *tally) float64 { return float64(x.served()) / float64(x.arrived) }
	is.True(share(urgent) > share(batch))
	all := float64(urgent.served()+batch.served()) / float64(urgent.arrived+batch.arrived)
	is.True(share(batch) >= all/4) // the less urgent route does not starve
}

// Load: return after refusal. For some seconds demand exceeds the room, by as much as finds room
// within the third of their time that callers wait.
func TestReturnAfterRefusal(t *testing.T) {
	is := is.New(t)
	out := load(20*time.Second,
		arrivals{route: "letter", rank: 0, tokens: usual, perSecond: 6},
		arrivals{route: "letter", rank: 0, tokens: usual, perSecond: 10, from: 2 * time.Second, to: 5 * time.Second},
	)
	letter := out["letter/"]
	is.True(letter.returned > 0)
	is.True(float64(letter.servedOnReturn) >= 0.8*float64(letter.returned)) // the time of return is kept
}

// Load: return after refusal, by callers of whom some return at once. They gain nothing by it.
func TestHastyReturns(t *testing.T) {
	is := is.New(t)
	out := load(20*time.Second,
		arrivals{route: "letter", workspace: "patient", rank: 0, tokens: usual, perSecond: 10},
		arrivals{route: "letter", workspace: "hasty", rank: 0, tokens: usual, perSecond: 10, hasty: true},
	)
	patient, hasty := out["letter/patient"], out["letter/hasty"]
	is.True(patient.served() >= hasty.served())
}

// Load: largest tenth under overload.
func TestLargestTenthUnderOverload(t *testing.T) {
	is := is.New(t)
	out := load(20*time.Second,
		arrivals{route: "letter", workspace: "usual", tokens: usual, perSecond: 13.5},
		arrivals{route: "letter", workspace: "large", tokens: 4 * usual, perSecond: 1.5},
	)
	usualSize, large := out["letter/usual"], out["letter/large"]
	all := float64(usualSize.served()+large.served()) / float64(usualSize.arrived+large.arrived)
	is.True(float64(large.served()) >= all/2*float64(large.arrived))
}

// Load: one tenant floods.
func TestOneTenantFloods(t *testing.T) {
	is := is.New(t)
	all := []arrivals{{route: "letter", workspace: "flood", tokens: usual, perSecond: 30}}
	for i := range 4 {
		all = append(all, arrivals{route: "letter", workspace: fireflysaddle.Workspace(fmt.Sprint("small-", i)), tokens: usual, perSecond: 1, from: 10*time.Second + time.Duration(i)*time.Second/4, to: 28 * time.Second})
	}
	out := load(30*time.Second, all...)
	served, arrived := 0, 0
	for name, x := range out {
		served, arrived = served+x.served(), arrived+x.arrived
		if name != "letter/flood" {
			is.True(float64(x.onTime) >= 0.9*float64(x.arrived)) // the others hardly notice
		}
	}
	flood := out["letter/flood"]
	is.True(float64(flood.served())/float64(flood.arrived) >= float64(served)/float64(arrived)/4) // nor does the flood starve
}

// A caller that has part of its answer goes before all others.
func TestBegunStreamsGoFirst(t *testing.T) {
	is := is.New(t)
	q := saddleadmission.New()
	room := saddleadmission.Room{Capacity: capacity, Rate: capacity, Entries: 1}
	r := saddleadmission.Request{Ticket: 1, Rank: 0, Tokens: usual, OnTime: start.Add(objective), Until: start.Add(patience), Deadline: start.Add(timeLeft)}
	is.True(!q.Join(start, r, room, 0).Refused)
	r.Ticket, r.Rank, r.Begun = 2, 5, true
	is.True(!q.Join(start, r, room, 0).Refused)
	ticket, reason, ok := q.Next(start, room)
	is.True(ok)
	is.Equal(ticket, saddleadmission.Ticket(2))
	is.Equal(reason, saddleadmission.ReasonBegun)
}
