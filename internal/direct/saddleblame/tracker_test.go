package saddleblame_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddleblame"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

var start = time.Unix(1_800_000_000, 0)

func traits(names ...fireflysaddle.Trait) []fireflysaddle.Trait { return names }

func report(t *saddleblame.Tracker, now time.Time) *saddlewire.Member {
	m := &saddlewire.Member{}
	t.AddTo(now, m)
	return m
}

// The connection of a request and the probe of its target fail in either order.
func TestPartsOfInterruptedRequestsAreBlamedOnceTheEngineHasEnded(t *testing.T) {
	for name, endedFirst := range map[string]bool{"probe fails first": true, "connection fails first": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := saddleblame.New()
			if endedFirst {
				tracker.TargetEnded(start, "address")
			}
			tracker.Interrupted(start, start, "address", "target-1", traits("first", "fatal"))
			if !endedFirst {
				is.Equal(len(report(tracker, start).GetBlames()), 0)
				tracker.TargetEnded(start.Add(time.Second), "address")
			}
			m := report(tracker, start.Add(time.Second))
			is.Equal(len(m.GetBlames()), 1)
			is.Equal(m.GetBlames()[0].GetTarget(), "target-1")
			is.Equal(m.GetBlames()[0].GetTraits(), []string{"fatal", "first"})
			is.Equal(len(report(tracker, start.Add(time.Minute)).GetBlames()), 0)
		})
	}
}

// Control tells an outage from a fatal request by when the latest request with a trait was sent.
func TestBlamesSayWhenRequestsWereSentAndInterrupted(t *testing.T) {
	is := is.New(t)
	tracker := saddleblame.New()
	const ms = time.Millisecond
	tracker.Interrupted(start.Add(200*ms), start, "address", "target-1", traits("both", "early"))
	tracker.Interrupted(start.Add(210*ms), start.Add(150*ms), "address", "target-1", traits("both"))
	tracker.TargetEnded(start.Add(300*ms), "address")
	b := report(tracker, start.Add(time.Second)).GetBlames()[0]
	is.Equal(b.GetTraits(), []string{"both", "early"})
	is.Equal(b.GetSentMsAgo(), []uint32{850, 1000})
	is.Equal(b.GetEndedMsAgo(), uint32(800))
	is.Equal(report(tracker, start.Add(2*time.Second)).GetBlames()[0].GetEndedMsAgo(), uint32(1800))
}

// Guards against blaming the traits of requests whose target merely reset a connection.
func TestNothingIsBlamedWhileTheEngineAnswers(t *testing.T) {
	is := is.New(t)
	tracker := saddleblame.New()
	tracker.Interrupted(start, start, "address", "target-1", traits("first"))
	tracker.TargetEnded(start.Add(time.Minute), "address")
	is.Equal(len(report(tracker, start.Add(time.Minute)).GetBlames()), 0)
}

// A trait that any entry blames proves harmless when a target answers with it.
func TestAnsweredPartIsReportedAsHarmless(t *testing.T) {
	is := is.New(t)
	tracker := saddleblame.New()
	tracker.Answered(start, start, traits("first")) // not blamed at that time
	tracker.TargetEnded(start, "address")
	tracker.Interrupted(start, start, "address", "target-1", traits("first", "fatal"))
	tracker.Update(start, &saddleview.View{Blamed: []string{"elsewhere"}})
	is.Equal(len(report(tracker, start).GetHarmless()), 0)
	tracker.Answered(start.Add(time.Second), start, traits("first")) // sent before it was blamed
	is.Equal(len(report(tracker, start).GetHarmless()), 0)
	tracker.Update(start.Add(time.Second), &saddleview.View{Blamed: []string{"elsewhere", "first"}})
	tracker.Answered(start.Add(time.Second), start.Add(500*time.Millisecond), traits("first", "elsewhere", "unknown"))
	m := report(tracker, start.Add(time.Second))
	is.Equal(m.GetHarmless(), []string{"elsewhere", "first"})
	is.Equal(m.GetBlames()[0].GetTraits(), []string{"fatal"})
}

func TestRequestsWithAllPartsOfAQuarantineAreRefused(t *testing.T) {
	is := is.New(t)
	tracker := saddleblame.New()
	v := &saddleview.View{Quarantines: []*saddlewire.Quarantine{{Traits: []string{"fatal", "first"}, UntilMs: start.Add(time.Minute).UnixMilli()}}}
	is.Equal(len(tracker.Update(start, v)), 1)
	is.Equal(len(tracker.Update(start, v)), 0)
	for name, c := range map[string]struct {
		traits  []fireflysaddle.Trait
		at      time.Time
		refused bool
	}{
		"all traits":          {traits("first", "fatal", "other"), start, true},
		"one of the traits":   {traits("first", "other"), start, false},
		"no trait":            {nil, start, false},
		"after the end of it": {traits("first", "fatal"), start.Add(time.Hour), false},
	} {
		until, refused := tracker.Refused(c.at, c.traits)
		if refused != c.refused || (refused && !until.Equal(start.Add(time.Minute))) {
			t.Errorf("%s: refused %v until %v", name, refused, until)
		}
	}
	is.Equal(len(report(tracker, start).GetQuarantines()), 1) // for replicas that have restarted
}
