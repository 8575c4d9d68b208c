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

// managedGroup is a group with automatic replacement. Its messages are delivered
// without delay.
type managedGroup struct {
	now      time.Time
	replicas map[string]*saddlereplica.Replica
	down     map[string]bool
}

const replaceAfter = 2 * time.Second

func newManagedGroup() *managedGroup {
	g := &managedGroup{now: start, replicas: map[string]*saddlereplica.Replica{}, down: map[string]bool{}}
	for _, id := range threeIDs {
		g.add(id, threeIDs)
	}
	return g
}

func (g *managedGroup) add(id string, voters []string) {
	cfg := config(id, voters)
	cfg.Rand = rand.New(rand.NewPCG(uint64(id[0]), 3))
	cfg.DesiredVoters = 3
	cfg.ReplaceAfter = replaceAfter
	g.replicas[id] = saddlereplica.New(g.now, cfg, &saddlewire.HardState{}, &saddlewire.Snapshot{}, nil)
}

// runFor advances the virtual time.
func (g *managedGroup) runFor(d time.Duration) {
	for until := g.now.Add(d); g.now.Before(until); g.now = g.now.Add(10 * time.Millisecond) {
		for id, r := range g.replicas {
			if !g.down[id] {
				r.Tick(g.now)
			}
		}
		for range 20 {
			g.deliver()
		}
	}
}

func (g *managedGroup) deliver() {
	for id, r := range g.replicas {
		if g.down[id] {
			continue
		}
		for _, m := range drainReady(g.now, r) {
			if to, ok := g.replicas[m.GetTo()]; ok && !g.down[m.GetTo()] {
				to.Step(g.now, m)
			}
		}
	}
}

func (g *managedGroup) leader() *saddlereplica.Replica {
	for id, r := range g.replicas {
		if !g.down[id] && r.LeaseValid(g.now) {
			return r
		}
	}
	return nil
}

// members returns the sorted ids of the committed membership, with learners in
// parentheses.
func (g *managedGroup) members() []string {
	var out []string
	for _, p := range g.leader().CommittedMembers() {
		id := p.GetId()
		if !p.GetVoter() {
			id = "(" + id + ")"
		}
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// join adds a new replica through the leader, as the control daemon does.
func (g *managedGroup) join(t *testing.T, address string) {
	t.Helper()
	const id = "new"
	g.add(id, nil)
	l := g.leader()
	if _, err := l.AddReplica(g.now, id, address, l.ReplicaToReplace(g.now, id, address)); err != nil {
		t.Fatal(err)
	}
}

// follower returns a running replica that is not the leader.
func (g *managedGroup) follower() string {
	for _, id := range threeIDs {
		if g.replicas[id] != g.leader() && !g.down[id] {
			return id
		}
	}
	return ""
}

func TestReplicaWithLostDiskIsReplacedAtItsAddress(t *testing.T) {
	is := is.New(t)
	g := newManagedGroup()
	g.runFor(5 * time.Second)
	lost := g.follower()
	g.down[lost] = true
	g.runFor(100 * time.Millisecond) // less than replaceAfter
	g.join(t, lost)
	g.runFor(time.Second)
	is.True(!slices.Contains(g.members(), lost))
	is.True(slices.Contains(g.members(), "new"))
	is.Equal(len(g.members()), 3)
}

func TestNewReplicaReplacesSilentOne(t *testing.T) {
	is := is.New(t)
	g := newManagedGroup()
	g.runFor(5 * time.Second)
	lost := g.follower()
	g.down[lost] = true
	g.runFor(replaceAfter + 500*time.Millisecond)
	g.join(t, "elsewhere")
	g.runFor(time.Second)
	is.True(!slices.Contains(g.members(), lost))
	is.Equal(len(g.members()), 3)
}

// A new replica joins while all others run, so the group grows to four. When one of
// them becomes silent, it is removed as a surplus voter.
func TestSurplusSilentReplicaIsRemoved(t *testing.T) {
	is := is.New(t)
	g := newManagedGroup()
	g.runFor(5 * time.Second)
	g.join(t, "elsewhere")
	g.runFor(time.Second)
	is.Equal(len(g.members()), 4)
	old := g.follower()
	g.down[old] = true
	g.runFor(replaceAfter + time.Second)
	is.True(!slices.Contains(g.members(), old))
	is.Equal(len(g.members()), 3)
}

// A replica that is down for longer than replaceAfter stays in a group of three
// until another one can replace it.
func TestDownReplicaIsNotRemovedWithoutReplacement(t *testing.T) {
	is := is.New(t)
	g := newManagedGroup()
	g.runFor(5 * time.Second)
	lost := g.follower()
	g.down[lost] = true
	g.runFor(time.Minute)
	is.True(slices.Contains(g.members(), lost))
}

func TestSilentLearnerIsRemoved(t *testing.T) {
	is := is.New(t)
	g := newManagedGroup()
	g.runFor(5 * time.Second)
	g.join(t, "elsewhere")
	g.down["new"] = true
	g.runFor(replaceAfter + time.Second)
	is.Equal(g.members(), threeIDs)
}

func TestLearnerThatJustJoinedIsNotSilent(t *testing.T) {
	is := is.New(t)
	g := newManagedGroup()
	g.runFor(time.Minute) // longer than replaceAfter
	g.join(t, "elsewhere")
	g.down["new"] = true // it is slow to answer
	g.runFor(500 * time.Millisecond)
	is.True(slices.Contains(g.members(), "(new)"))
	g.down["new"] = false
	g.runFor(time.Second)
	is.True(slices.Contains(g.members(), "new"))
}

// awaitLeader advances the virtual time until a replica leads, and reports whether one
// does within the limit.
func (g *managedGroup) awaitLeader(limit time.Duration) bool {
	for until := g.now.Add(limit); g.now.Before(until); {
		if g.leader() != nil {
			return true
		}
		g.runFor(100 * time.Millisecond)
	}
	return false
}

// Guards against a group that can never elect a leader again: a member is replaced as
// planned, the new one first, and another member loses its disk soon after the replaced one
// has stopped, while the group has still four voters.
func TestPlannedReplacementToleratesTheLossOfADisk(t *testing.T) {
	for name, c := range map[string]struct {
		leaderStops bool
		announced   bool          // the stopping replica asks to be removed
		pause       time.Duration // between the stop and the loss
	}{
		"a follower stops, announced":     {announced: true},
		"the leader stops, announced":     {leaderStops: true, announced: true},
		"a follower is killed":            {pause: time.Second},
		"the leader is killed, then lost": {leaderStops: true, pause: 1900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newManagedGroup()
			g.runFor(5 * time.Second)
			g.join(t, "elsewhere")
			g.runFor(5 * time.Second)
			is.Equal(len(g.members()), 4)

			stopped := g.follower()
			if c.leaderStops {
				stopped = g.leader().LeaderID()
			}
			if c.announced {
				_, err := g.leader().RemoveSurplusReplica(g.now, stopped)
				is.NoErr(err)
				g.runFor(50 * time.Millisecond)
			}
			g.down[stopped] = true
			g.runFor(c.pause)

			var lost string
			for _, id := range threeIDs {
				if id != stopped && g.replicas[id] != g.leader() {
					lost = id
				}
			}
			g.down[lost] = true
			g.runFor(700 * time.Millisecond)
			is.True(g.awaitLeader(5 * time.Second))
			g.add("again", nil)
			l := g.leader()
			_, err := l.AddReplica(g.now, "again", lost, l.ReplicaToReplace(g.now, "again", lost))
			is.NoErr(err)
			g.runFor(2 * time.Second)
			is.Equal(len(g.members()), 3)
			is.True(!slices.Contains(g.members(), stopped) && !slices.Contains(g.members(), lost))
		})
	}
}

// A replica that stops keeps its vote unless the group has more voters than it needs.
func TestStoppingReplicaThatIsNeededStays(t *testing.T) {
	is := is.New(t)
	g := newManagedGroup()
	g.runFor(5 * time.Second)
	index, err := g.leader().RemoveSurplusReplica(g.now, g.follower())
	is.NoErr(err)
	is.Equal(index, uint64(0))
	g.join(t, "elsewhere")
	g.runFor(time.Second)
	first := g.follower()
	_, err = g.leader().RemoveSurplusReplica(g.now, first)
	is.NoErr(err)
	g.runFor(100 * time.Millisecond)
	index, err = g.leader().RemoveSurplusReplica(g.now, g.leader().LeaderID())
	is.NoErr(err)
	is.Equal(index, uint64(0)) // one surplus voter has left already
	is.Equal(len(g.members()), 3)
}
