package saddlereplica_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlereplica"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// circle is a group that looks after itself, whose messages arrive at once.
type circle struct {
	now      time.Time
	replicas map[string]*saddlereplica.Replica
	down     map[string]bool
}

const silentFor = 2 * time.Second

func newCircle() *circle {
	c := &circle{now: start, replicas: map[string]*saddlereplica.Replica{}, down: map[string]bool{}}
	for _, id := range three {
		c.add(id, three)
	}
	return c
}

func (c *circle) add(id string, voters []string) {
	cfg := config(id, voters)
	cfg.Rand = rand.New(rand.NewPCG(uint64(id[0]), 3))
	cfg.DesiredVoters = 3
	cfg.ReplaceAfter = silentFor
	c.replicas[id] = saddlereplica.New(c.now, cfg, &saddlewire.HardState{}, &saddlewire.Snapshot{}, nil)
}

// pass lets time go by.
func (c *circle) pass(d time.Duration) {
	for until := c.now.Add(d); c.now.Before(until); c.now = c.now.Add(10 * time.Millisecond) {
		for id, r := range c.replicas {
			if !c.down[id] {
				r.Tick(c.now)
			}
		}
		for range 20 {
			c.deliver()
		}
	}
}

func (c *circle) deliver() {
	for id, r := range c.replicas {
		if c.down[id] {
			continue
		}
		for _, m := range drive(c.now, r) {
			if to, ok := c.replicas[m.GetTo()]; ok && !c.down[m.GetTo()] {
				to.Step(c.now, m)
			}
		}
	}
}

func (c *circle) leader() *saddlereplica.Replica {
	for id, r := range c.replicas {
		if !c.down[id] && r.LeaseValid(c.now) {
			return r
		}
	}
	return nil
}

// members returns the committed replicas, those without a vote in brackets.
func (c *circle) members() []string {
	var out []string
	for _, p := range c.leader().CommittedMembers() {
		id := p.GetId()
		if !p.GetVoter() {
			id = "(" + id + ")"
		}
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// join lets a new replica ask the leader to be let in, as its process does.
func (c *circle) join(t *testing.T, address string) {
	t.Helper()
	const id = "new"
	c.add(id, nil)
	l := c.leader()
	if _, err := l.AddReplica(c.now, id, address, l.ReplicaToReplace(c.now, id, address)); err != nil {
		t.Fatal(err)
	}
}

// other returns a replica that does not lead.
func (c *circle) other() string {
	for _, id := range three {
		if c.replicas[id] != c.leader() && !c.down[id] {
			return id
		}
	}
	return ""
}

func TestALostDiskIsReplacedAtItsAddress(t *testing.T) {
	is := is.New(t)
	c := newCircle()
	c.pass(5 * time.Second)
	lost := c.other()
	c.down[lost] = true
	c.pass(100 * time.Millisecond) // it has hardly been silent
	c.join(t, lost)
	c.pass(time.Second)
	is.True(!slices.Contains(c.members(), lost))
	is.True(slices.Contains(c.members(), "new"))
	is.Equal(len(c.members()), 3)
}

func TestASilentReplicaMakesWayForANewOne(t *testing.T) {
	is := is.New(t)
	c := newCircle()
	c.pass(5 * time.Second)
	lost := c.other()
	c.down[lost] = true
	c.pass(silentFor + 500*time.Millisecond)
	c.join(t, "elsewhere")
	c.pass(time.Second)
	is.True(!slices.Contains(c.members(), lost))
	is.Equal(len(c.members()), 3)
}

// A new replica comes before the old one goes: the group grows and then shrinks.
func TestAGroupShrinksToWhatItNeeds(t *testing.T) {
	is := is.New(t)
	c := newCircle()
	c.pass(5 * time.Second)
	c.join(t, "elsewhere")
	c.pass(time.Second)
	is.Equal(len(c.members()), 4)
	old := c.other()
	c.down[old] = true
	c.pass(silentFor + time.Second)
	is.True(!slices.Contains(c.members(), old))
	is.Equal(len(c.members()), 3)
}

// While a replica is down for longer than is put up with, it stays in a group of
// three: nobody else is there to vote.
func TestAReplicaThatIsDownIsKept(t *testing.T) {
	is := is.New(t)
	c := newCircle()
	c.pass(5 * time.Second)
	lost := c.other()
	c.down[lost] = true
	c.pass(time.Minute)
	is.True(slices.Contains(c.members(), lost))
}

func TestANewReplicaThatIsLostIsDropped(t *testing.T) {
	is := is.New(t)
	c := newCircle()
	c.pass(5 * time.Second)
	c.join(t, "elsewhere")
	c.down["new"] = true
	c.pass(silentFor + time.Second)
	is.Equal(c.members(), three)
}

func TestAReplicaThatJustJoinedIsNotSilent(t *testing.T) {
	is := is.New(t)
	c := newCircle()
	c.pass(time.Minute) // the leader leads for long
	c.join(t, "elsewhere")
	c.down["new"] = true // it takes a while until it answers
	c.pass(500 * time.Millisecond)
	is.True(slices.Contains(c.members(), "(new)"))
	c.down["new"] = false
	c.pass(time.Second)
	is.True(slices.Contains(c.members(), "new"))
}
