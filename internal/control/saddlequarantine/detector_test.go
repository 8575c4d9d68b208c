package saddlequarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlequarantine"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

var start = time.Unix(1_800_000_000, 0)

func blame(target string, traits ...string) *saddlewire.Member {
	return &saddlewire.Member{Node: "entry-1", Blames: []*saddlewire.Blame{{Target: target, Traits: traits}}}
}

// quarantined returns the traits of the quarantines in force.
func quarantined(d *saddlequarantine.Detector) [][]string {
	u := &saddlewire.Update{}
	d.AddTo(u)
	var out [][]string
	for _, q := range u.GetQuarantines() {
		out = append(out, q.GetTraits())
	}
	return out
}

// Pattern: requests with one trait end a target each second, beside others whose traits change.
func TestPartThatIsCommonToCrashesIsQuarantined(t *testing.T) {
	is := is.New(t)
	d := saddlequarantine.New()
	for i := range 3 {
		is.Equal(len(quarantined(d)), 0)
		d.Observe(start.Add(time.Duration(i)*time.Second), blame(fmt.Sprint("target-", i), "fatal", fmt.Sprint("other-", i)))
	}
	is.Equal(quarantined(d), [][]string{{"fatal"}})
}

// Pattern: an outage ends many targets at once, while each is to answer requests with the most
// common trait.
func TestEnginesThatEndTogetherCountOnce(t *testing.T) {
	is := is.New(t)
	d := saddlequarantine.New()
	for i := range 20 {
		d.Observe(start.Add(time.Duration(i)*25*time.Millisecond), blame(fmt.Sprint("target-", i), "common"))
	}
	is.Equal(len(quarantined(d)), 0)
}

// Guards against the refusal of requests that share a trait, but not the fatal one, with those
// that end targets.
func TestPartWithWhichEnginesAnswerIsHarmless(t *testing.T) {
	is := is.New(t)
	d := saddlequarantine.New()
	for i := range 4 {
		now := start.Add(time.Duration(i) * time.Second)
		d.Observe(now, blame(fmt.Sprint("target-", i), "first", "fatal"))
		if i == 1 {
			d.Observe(now, &saddlewire.Member{Node: "entry-2", Harmless: []string{"first"}})
		}
	}
	is.Equal(quarantined(d), [][]string{{"fatal"}})
}

// Parts that always came together are refused together only, so that requests with one of
// them can show that it is harmless.
func TestPartsThatCannotBeToldApartAreQuarantinedTogether(t *testing.T) {
	is := is.New(t)
	d := saddlequarantine.New()
	for i := range 3 {
		d.Observe(start.Add(time.Duration(i)*time.Second), blame(fmt.Sprint("target-", i), "first", "fatal"))
	}
	is.Equal(quarantined(d), [][]string{{"fatal", "first"}})
	d.Observe(start.Add(4*time.Second), &saddlewire.Member{Node: "entry-2", Harmless: []string{"first"}})
	is.Equal(quarantined(d), [][]string{{"fatal"}})
	stale := &saddlewire.Member{Node: "entry-3", Quarantines: []*saddlewire.Quarantine{{Traits: []string{"fatal", "first"}, UntilMs: start.Add(time.Hour).UnixMilli()}}}
	d.Observe(start.Add(5*time.Second), stale)
	is.Equal(quarantined(d), [][]string{{"fatal"}})
}

// One more crash, under only one of the traits, tells them apart.
func TestQuarantineNarrowsToThePartWithFurtherCrashes(t *testing.T) {
	is := is.New(t)
	d := saddlequarantine.New()
	for i := range 3 {
		d.Observe(start.Add(time.Duration(i)*time.Second), blame(fmt.Sprint("target-", i), "first", "fatal"))
	}
	d.Observe(start.Add(4*time.Second), blame("target-9", "second", "fatal"))
	is.Equal(quarantined(d), [][]string{{"fatal"}})
}

// A quarantine outlasts the replicas that decided it, and ends after ten minutes.
func TestQuarantineIsAdoptedAndExpires(t *testing.T) {
	is := is.New(t)
	d := saddlequarantine.New()
	q := &saddlewire.Quarantine{Traits: []string{"fatal"}, UntilMs: start.Add(10 * time.Minute).UnixMilli()}
	d.Observe(start, &saddlewire.Member{Node: "entry-1", Quarantines: []*saddlewire.Quarantine{q}})
	is.Equal(quarantined(d), [][]string{{"fatal"}})
	d.Observe(start.Add(11*time.Minute), blame("target-1", "other"))
	is.Equal(len(quarantined(d)), 0)
}

// Blames are repeated in each heartbeat, and targets that ended long ago do not count.
func TestRepeatedAndOldBlamesDoNotCount(t *testing.T) {
	is := is.New(t)
	d := saddlequarantine.New()
	for i := range 10 {
		d.Observe(start.Add(time.Duration(i)*time.Second), blame("target-1", "trait"))
	}
	for i := range 4 {
		d.Observe(start.Add(time.Duration(i)*8*time.Minute), blame(fmt.Sprint("target-", 10+i), "trait"))
	}
	is.Equal(len(quarantined(d)), 0)
}

// Pattern: requests with the trait come every four minutes.
func TestRareRequestsAreFound(t *testing.T) {
	is := is.New(t)
	d := saddlequarantine.New()
	for i := range 3 {
		d.Observe(start.Add(time.Duration(i)*4*time.Minute), blame(fmt.Sprint("target-", i), "fatal"))
	}
	is.Equal(quarantined(d), [][]string{{"fatal"}})
}
