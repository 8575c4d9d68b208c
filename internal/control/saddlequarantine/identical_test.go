package saddlequarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlequarantine"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

func identical(fingerprint string) string {
	return string(fireflysaddle.IdenticalRequests(fingerprint))
}

// Pattern: a request and its retries end all targets of a service within a fifth of a second.
// Guards against repeats of it ending them again once they are back.
func TestRequestThatEndsTargetsInQuickSuccessionIsQuarantined(t *testing.T) {
	is := is.New(t)
	d := saddlequarantine.New()
	for i := range 3 {
		is.Equal(len(quarantined(d)), 0)
		d.Observe(start.Add(time.Duration(i)*70*time.Millisecond), blame(fmt.Sprint("target-", i), identical("f"), identical(fmt.Sprint("victim-", i))))
	}
	is.Equal(quarantined(d), [][]string{{identical("f")}})
}

// Requests that were at the same targets as a fatal one are refused with it, each by itself,
// until one more crash tells them apart or one of them is answered.
func TestFatalRequestIsToldApartFromOneBesideIt(t *testing.T) {
	is := is.New(t)
	d := saddlequarantine.New()
	for i := range 3 {
		d.Observe(start, blame(fmt.Sprint("target-", i), identical("fatal"), identical("beside"), identical("also")))
	}
	is.Equal(quarantined(d), [][]string{{identical("also")}, {identical("beside")}, {identical("fatal")}})
	d.Observe(start.Add(time.Second), &saddlewire.Member{Node: "entry-2", Harmless: []string{identical("also")}})
	is.Equal(quarantined(d), [][]string{{identical("beside")}, {identical("fatal")}})
}

// Parts of a prompt that a fatal request shares with others are not refused with it, unless
// other requests with the part end targets too.
func TestPartsOfAFatalRequestAreNotRefused(t *testing.T) {
	is := is.New(t)
	d := saddlequarantine.New()
	for i := range 4 {
		d.Observe(start.Add(time.Duration(i)*time.Second), blame(fmt.Sprint("target-", i), "shared", identical("fatal")))
	}
	is.Equal(quarantined(d), [][]string{{identical("fatal")}})
	d.Observe(start.Add(5*time.Second), blame("target-9", "shared", identical("other")))
	is.Equal(quarantined(d), [][]string{{identical("fatal")}, {"shared"}})
}

// Pattern: an outage interrupts many requests at one target, each with a fingerprint of its own.
// Guards against updates to all entries that grow with them: entries need not know of requests
// under which one target ended.
func TestRequestsOfOneOutageAreNotSentToEntries(t *testing.T) {
	is := is.New(t)
	d := saddlequarantine.New()
	for i := range 100 {
		d.Observe(start, blame("target-1", "shared", identical(fmt.Sprint(i))))
	}
	d.Observe(start, blame("target-2", identical("7")))
	u := &saddlewire.Update{}
	d.AddTo(u)
	is.Equal(u.GetBlamed(), []string{identical("7"), "shared"})
}

// Pattern: outages interrupt thousands of requests within ten minutes.
// Guards against a fatal request that is not noticed because too many others are remembered.
func TestFatalRequestIsNoticedAmongManyInterruptedOnes(t *testing.T) {
	is := is.New(t)
	d := saddlequarantine.New()
	for i := range 50 {
		var interrupted []string
		for j := range 100 {
			interrupted = append(interrupted, identical(fmt.Sprint(i, "-", j)))
		}
		d.Observe(start.Add(time.Duration(i)*time.Second), blame(fmt.Sprint("lost-", i), interrupted...))
	}
	for i := range 3 {
		d.Observe(start.Add(time.Minute+time.Duration(i)*time.Second), blame(fmt.Sprint("target-", i), identical("fatal")))
	}
	is.Equal(quarantined(d), [][]string{{identical("fatal")}})
}

// Pattern: identical requests run at three targets when an outage ends these; then one of them
// ends targets one after the other. Entries report late, each with the ages of what it saw.
func TestTargetsThatEndTogetherUnderIdenticalRequestsCountOnce(t *testing.T) {
	is := is.New(t)
	d := saddlequarantine.New()
	observe := func(seen time.Duration, target string, sentAt, endedAt time.Duration) {
		m := blame(target, identical("f"))
		m.Blames[0].SentMsAgo = []uint32{uint32((seen - sentAt).Milliseconds())}
		m.Blames[0].EndedMsAgo = uint32((seen - endedAt).Milliseconds())
		d.Observe(start.Add(seen), m)
	}
	const ms = time.Millisecond
	for i := range 5 {
		observe(time.Duration(900-100*i)*ms, fmt.Sprint("outage-", i), time.Duration(i)*ms, time.Duration(100+i)*ms)
	}
	is.Equal(len(quarantined(d)), 0)
	observe(2000*ms, "fatal-1", 1000*ms, 1010*ms)
	is.Equal(len(quarantined(d)), 0)
	observe(2000*ms, "fatal-2", 1010*ms, 1020*ms) // sent at once after the end before
	is.Equal(quarantined(d), [][]string{{identical("f")}})
}
