package saddlelimit_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlelimit"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

func entry(node string, limits ...*saddlewire.TargetLimit) *saddlewire.Member {
	return &saddlewire.Member{Node: node, Role: "entry", Load: &saddlewire.Load{Limits: limits}}
}

// report is what an entry reports of the target near: the limit that it was told and its
// demand, in thousandths of a request per second.
func report(limit, demand uint64) *saddlewire.TargetLimit {
	return &saddlewire.TargetLimit{Target: "near", Incarnation: 1, Limit: limit, Demand: demand}
}

func shares(t *saddlelimit.Table, m *saddlewire.Member) []*saddlewire.LimitShare {
	u := &saddlewire.Update{}
	t.AddTo(u, m)
	return u.GetLimits()
}

func TestSharesFollowDemandAndAddUpToOne(t *testing.T) {
	is := is.New(t)
	table := saddlelimit.New()
	members := []*saddlewire.Member{entry("busy", report(10_000, 16_000)), entry("quiet", report(0, 4000)), entry("idle")}
	for _, m := range append(members, &saddlewire.Member{Node: "agent", Role: "agent"}) {
		table.Add(m)
	}
	var share [3]float64
	for i, m := range members {
		got := shares(table, m)
		is.Equal(len(got), 1)
		is.Equal(got[0].GetTarget(), "near")
		is.Equal(got[0].GetLimit(), uint64(10_000))
		share[i] = got[0].GetShare()
	}
	is.True(math.Abs(share[0]+share[1]+share[2]-1) < 1e-9)
	is.True(share[0] > 0.75)
	is.True(share[1] > 0.15)
	is.True(share[2] > 0.01) // it can begin to send
	table.Remove(members[0])
	is.Equal(len(shares(table, members[1])), 0) // the entry that was told the limit is gone
	table.Add(members[0])
	table.Remove(members[1])
	is.True(shares(table, members[0])[0].GetShare() > 0.9)
}

func TestLowestReportedLimitCounts(t *testing.T) {
	is := is.New(t)
	table := saddlelimit.New()
	old, current := entry("a", report(10_000, 0)), entry("b", report(3000, 0))
	table.Add(old)
	table.Add(current)
	is.Equal(shares(table, old)[0].GetLimit(), uint64(3000))
	is.Equal(shares(table, old)[0].GetShare(), 0.5)
	table.Remove(current)
	is.Equal(shares(table, old)[0].GetLimit(), uint64(10_000))
}

// Starts of a target are apart: the limit of one does not hold for the next.
func TestLimitsAreListedByIncarnation(t *testing.T) {
	is := is.New(t)
	table := saddlelimit.New()
	again := report(5000, 0)
	again.Incarnation = 2
	m := entry("a", report(3000, 0), again)
	table.Add(m)
	got := shares(table, m)
	is.Equal(len(got), 2)
	is.Equal(got[0].GetIncarnation(), uint64(1))
	is.Equal(got[1].GetIncarnation(), uint64(2))
}

// Pattern: a hundred entries send to twenty targets that state limits. What an entry sends and
// gets of them twice a second takes a fraction of the 6 KB/s for each node.
func TestLimitsTakeFewBytes(t *testing.T) {
	is := is.New(t)
	table := saddlelimit.New()
	var last *saddlewire.Member
	for i := range 100 {
		var limits []*saddlewire.TargetLimit
		for j := range 20 {
			limits = append(limits, &saddlewire.TargetLimit{
				Target: fmt.Sprintf("i-%010x", j), Incarnation: 1_791_239_588_046, Limit: 11_200, Demand: uint64(1000 + i),
			})
		}
		last = entry(fmt.Sprint("entry-", i), limits...)
		table.Add(last)
	}
	u := &saddlewire.Update{}
	table.AddTo(u, last)
	t.Logf("%d bytes in a heartbeat, %d in an update", proto.Size(last.GetLoad()), proto.Size(u))
	is.True(proto.Size(last.GetLoad())+proto.Size(u) < 6000/2/2) // half of what a node may use, twice a second
}
