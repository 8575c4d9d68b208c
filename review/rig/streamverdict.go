package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"
)

const (
	lossSlack    = 200 * time.Millisecond
	excuseTime   = 3 * time.Second // requests sent later than this after SIGTERM are not excused
	stopSlack    = time.Second     // after the grace time
	exitSlack    = 300 * time.Millisecond
	lateSendTime = 500 * time.Millisecond
	// lastSixth is when the last sixth of the grace time begins.
	lastSixth = graceTime * 5 / 6
)

// Classes of cuts, after the hypotheses of the incident's page.
const (
	longerThanExpected = "1 longer than expected"
	sentLate           = "2 sent late"
	attemptEnded       = "3 attempt ended"
	earlyExit          = "4 process ended early"
	unexplained        = "unexplained"
)

var requestPattern = regexp.MustCompile(`"request":"([0-9a-f]+)"`)

// totals are the counts of a run.
type totals struct {
	streams, complete, refused, failed, notSent, late, outside, excused, unread int
	counted                                                                     map[string]int // by class
}

// verdict counts the streams by the rule.
func (s *series) verdict() error {
	lines := s.logLines()
	n := totals{counted: map[string]int{}}
	for _, t := range s.streams {
		n.streams++
		switch {
		case t.complete:
			n.complete++
		case t.refused() && t.status == 503 || t.status == 421 || t.status == 429 || t.status == 408:
			n.refused++
		case t.refused():
			n.failed++
			s.c.rec.addf("%s at %s has failed with %d", t.id, t.vm.name, t.status)
		case errors.Is(t.err, context.DeadlineExceeded) || t.endedAt.Sub(t.sentAt) > draftBudget-lossSlack:
			n.late++
		case !t.sent || isDialError(t.err):
			n.notSent++
		default:
			s.judge(t, lines[t.id], &n)
		}
	}
	s.reportStops(lines)
	s.reportArrivals()
	text := fmt.Sprintf("%d streams: %d complete, %d refused, %d failed, %d without a connection, %d over their budget, %d closed unread, %d cut and excused, %d cut outside of stops, cut and counted: %v",
		n.streams, n.complete, n.refused, n.failed, n.notSent, n.late, n.unread, n.excused, n.outside, n.counted)
	s.c.rec.addf("%s", text)
	fmt.Println(text)
	if n.complete == 0 {
		return fmt.Errorf("no stream was completed")
	}
	if len(n.counted) > 0 {
		return brokenf("LOST: of %d streams, cut around SIGTERM and counted: %v", n.streams, n.counted)
	}
	return nil
}

// judge counts a stream without a complete answer.
func (s *series) judge(t *stream, lines []string, n *totals) {
	passedOn := s.work.runs[t.id] > 0
	if !passedOn && t.endedAt.Sub(t.sentAt) <= lossSlack {
		n.unread++
		s.describe(t, s.stopOf(t), "closed unread", lines)
		return
	}
	stop := s.stopOf(t)
	if stop == nil {
		n.outside++
		s.describe(t, nil, "outside of stops", lines)
		return
	}
	atWork := !s.work.last[t.id].Before(stop.termAt.Add(lastSixth))
	if passedOn && atWork && t.sentAt.Sub(stop.termAt) <= excuseTime {
		n.excused++
		s.describe(t, stop, "excused", lines)
		return
	}
	class := s.classify(t, stop, lines)
	n.counted[class]++
	fmt.Print(s.describe(t, stop, class, lines))
}

// stopOf returns the stop of the machine during which a stream ended, or nil.
func (s *series) stopOf(t *stream) *vmStop {
	for _, stop := range s.stops {
		if stop.vm == t.vm && !t.endedAt.Before(stop.termAt) && t.sentAt.Before(stop.termAt.Add(graceTime+stopSlack)) && t.endedAt.Before(stop.termAt.Add(graceTime+stopSlack)) {
			return stop
		}
	}
	return nil
}

// classify returns the hypothesis that the log supports. Ends of attempts come before the
// others, because they lengthen a stream.
func (s *series) classify(t *stream, stop *vmStop, lines []string) string {
	exit, text := stop.exits[stop.vm.entry.name], strings.Join(lines, "\n")
	switch {
	case endedAttempts(t, exit.at.Add(-exitSlack), lines) > 0 || s.work.runs[t.id] > 1:
		return attemptEnded
	case !exit.killed && t.endedAt.Sub(exit.at).Abs() < exitSlack:
		return earlyExit
	case s.work.first[t.id].Sub(t.sentAt) > lateSendTime:
		return sentLate
	case strings.Contains(text, "answer in progress as the process is about to be killed"):
		return longerThanExpected
	}
	return unexplained
}

// attemptLine is a line of an entry's log about an attempt.
type attemptLine struct {
	Message string `json:"message"`
	AfterMs int64  `json:"after_ms"` // since the entry has read the request
}

// endedAttempts returns how many attempts of a stream ended before a time other than with a
// whole answer.
func endedAttempts(t *stream, before time.Time, lines []string) int {
	n := 0
	for _, line := range lines {
		var l attemptLine
		if err := json.Unmarshal([]byte(line), &l); err != nil || (l.Message != "attempt failed" && l.Message != "attempt aborted") {
			continue
		}
		if t.sentAt.Add(time.Duration(l.AfterMs) * time.Millisecond).Before(before) {
			n++
		}
	}
	return n
}

// describe records a cut, and returns the text.
func (s *series) describe(t *stream, stop *vmStop, class string, lines []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "cut (%s): %s at %s, %d of %d events, error %v, kept connection: %v, passed on %d times", class, t.id, t.vm.name, t.events, t.want, t.err, t.reused, s.work.runs[t.id])
	if stop != nil {
		since := func(at time.Time) string {
			if at.IsZero() {
				return "never"
			}
			return strconv.FormatInt(at.Sub(stop.termAt).Milliseconds(), 10)
		}
		fmt.Fprintf(&b, "; ms after SIGTERM (leader: %v): sent %s, passed on %s, ended %s, last work of an engine %s, process ended %s (killed: %v)",
			stop.led, since(t.sentAt), since(s.work.first[t.id]), since(t.endedAt), since(s.work.last[t.id]), since(stop.exits[t.vm.entry.name].at), stop.exits[t.vm.entry.name].killed)
	}
	b.WriteString("\n")
	for _, line := range lines {
		b.WriteString("  " + line + "\n")
	}
	s.c.rec.addf("%s", strings.TrimSpace(b.String()))
	return b.String()
}

// reportStops records for each stop how many streams were in progress, and how many of their
// attempts ended.
func (s *series) reportStops(lines map[string][]string) {
	for _, stop := range s.stops {
		exit := stop.exits[stop.vm.entry.name].at
		during, ended, repeated := 0, 0, 0
		for _, t := range s.streams {
			if t.vm != stop.vm || !t.sent || t.refused() || t.endedAt.Before(stop.termAt) || t.sentAt.After(exit) {
				continue
			}
			during++
			if endedAttempts(t, exit.Add(-exitSlack), lines[t.id]) > 0 {
				ended++
			}
			if s.work.runs[t.id] > 1 {
				repeated++
			}
		}
		s.c.rec.addf("stop of %s, leader: %v: %d streams accepted, of %d an attempt ended, %d were passed on again", stop.vm.name, stop.led, during, ended, repeated)
	}
}

// logLines returns the lines of the entries' logs by the request that they name.
func (s *series) logLines() map[string][]string {
	out := map[string][]string{}
	for _, v := range s.c.vms {
		text, err := os.ReadFile(v.entry.log)
		if err != nil {
			s.c.rec.addf("log of %s: %v", v.name, err)
			continue
		}
		for line := range bytes.Lines(text) {
			if m := requestPattern.FindSubmatch(line); m != nil {
				out[string(m[1])] = append(out[string(m[1])], strings.TrimSpace(string(line)))
			}
		}
	}
	return out
}

// reportArrivals prints what became of the streams that were sent after SIGTERM, by the time
// since then.
func (s *series) reportArrivals() {
	for from := time.Duration(0); from < graceTime; from += time.Second {
		complete, refused, cut := 0, 0, 0
		for _, t := range s.streams {
			stop := s.stopOf(t)
			if stop == nil || !t.sent || t.sentAt.Before(stop.termAt.Add(from)) || !t.sentAt.Before(stop.termAt.Add(from+time.Second)) {
				continue
			}
			switch {
			case t.complete:
				complete++
			case t.refused():
				refused++
			case s.work.runs[t.id] > 0:
				cut++
			}
		}
		text := fmt.Sprintf("sent %v to %v after SIGTERM: %d complete, %d refused, %d cut", from, from+time.Second, complete, refused, cut)
		s.c.rec.addf("%s", text)
		fmt.Println(text)
	}
}
