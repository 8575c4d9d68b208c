package saddleroute_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddlechoice"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

func router() *saddleroute.Router {
	return saddleroute.New(saddlechoice.NewLatencyChooser(rand.New(rand.NewPCG(1, 1))))
}

func newRequirements() saddleroute.Requirements {
	return saddleroute.Requirements{Group: model, Kind: fireflysaddle.KindEngine, Work: fireflysaddle.Work{PromptTokens: 100, MaxTokens: 100}}
}

func TestUnavailableTargetsAreNotChosen(t *testing.T) {
	leaving := engineMember("leaving", 0, 2)
	leaving.Leaving = true
	otherVersion := engineMember("other-version", 0, 2)
	otherVersion.Target.Version = "0"
	v := view(leaving, engineMember("drained", 0, 2), engineMember("avoided", 0, 2), otherVersion, engineMember("able", 0, 2))
	v.Drains["drained"] = &saddlewire.Drain{Target: "drained", Active: true}
	requirements := newRequirements()
	requirements.Version = "1"
	requirements.Avoid = map[fireflysaddle.TargetID]bool{"avoided": true}
	is := is.New(t)
	r := router()
	for range 50 {
		chain, ok := r.ChooseChain(startTime, v, requirements)
		is.True(ok)
		is.Equal(chain.Head().Target, fireflysaddle.TargetID("able"))
	}
}

func TestChainSkipsStageWithoutAvailableSuccessor(t *testing.T) {
	is := is.New(t)
	v := view(engineMember("first", 0, 1), engineMember("second", 1, 2), engineMember("whole", 0, 2))
	requirements := newRequirements()
	requirements.Avoid = map[fireflysaddle.TargetID]bool{"second": true}
	r := router()
	for range 50 {
		chain, ok := r.ChooseChain(startTime, v, requirements)
		is.True(ok)
		is.Equal(chain.Len(), 1)
		is.Equal(chain.Head().Target, fireflysaddle.TargetID("whole"))
	}
}

func TestChainUsesLatestCompleteVersion(t *testing.T) {
	is := is.New(t)
	half := engineMember("half-of-2", 0, 1)
	half.Target.Version = "2"
	chain, ok := router().ChooseChain(startTime, view(half, engineMember("first", 0, 1), engineMember("second", 1, 2)), newRequirements())
	is.True(ok)
	is.Equal(chain.Len(), 2)
	is.Equal(chain.Head().Target, fireflysaddle.TargetID("first"))
}

func TestServiceVersionIsOptional(t *testing.T) {
	is := is.New(t)
	requirements := saddleroute.Requirements{Group: service, Kind: fireflysaddle.KindService}
	v := view(serviceMember("old", "1"), serviceMember("new", "2"))
	seen := map[fireflysaddle.TargetID]bool{}
	r := router()
	for range 50 {
		stage, ok := r.ChooseService(startTime, v, requirements)
		is.True(ok)
		seen[stage.Target] = true
		r.RecordResult(startTime, stage, saddleroute.Result{})
	}
	is.Equal(len(seen), 2)
	requirements.Version = "2"
	stage, ok := r.ChooseService(startTime, v, requirements)
	is.True(ok)
	is.Equal(stage.Target, fireflysaddle.TargetID("new"))
}

func TestPromptFollowsItsPrefixWhileTheHintIsValid(t *testing.T) {
	prefixes, words := saddleroute.Prefixes(strings.Repeat("wall ", 200))
	requirements := newRequirements()
	requirements.Work.PromptTokens = words
	requirements.Prefixes = prefixes
	for _, c := range []struct {
		name       string
		elapsed    time.Duration
		change     func(*saddleroute.Router, fireflysaddle.TargetID)
		sameTarget bool
	}{
		{"before the hint expires", time.Second, nil, true},
		{"after the hint expired", 5 * time.Minute, nil, false},
		{"after cache events were lost", time.Second, (*saddleroute.Router).InvalidatePrefixes, false},
		{"after the prefix was evicted", time.Second, func(r *saddleroute.Router, id fireflysaddle.TargetID) { r.RecordEviction(id, prefixes) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := viewWithEngines(500)
			r := router()
			first, ok := r.ChooseChain(startTime, v, requirements)
			is.True(ok)
			r.RecordResult(startTime, first.Head(), saddleroute.Result{Outcome: saddleretry.Succeeded})
			if c.change != nil {
				c.change(r, first.Head().Target)
			}
			repeated, ok := r.ChooseChain(startTime.Add(c.elapsed), v, requirements)
			is.True(ok)
			is.Equal(repeated.Head().Target == first.Head().Target, c.sameTarget)
		})
	}
}

func TestRestartInvalidatesPrefixHints(t *testing.T) {
	is := is.New(t)
	requirements := newRequirements()
	requirements.Prefixes, requirements.Work.PromptTokens = saddleroute.Prefixes(strings.Repeat("course ", 200))
	v := viewWithEngines(500)
	r := router()
	first, ok := r.ChooseChain(startTime, v, requirements)
	is.True(ok)
	r.RecordResult(startTime, first.Head(), saddleroute.Result{Outcome: saddleretry.Succeeded})
	restarted := viewWithEngines(500)
	restarted.Members["agent-"+string(first.Head().Target)].Incarnation = 2
	repeated, ok := r.ChooseChain(startTime, restarted, requirements)
	is.True(ok)
	is.True(repeated.Head().Target != first.Head().Target)
}

func TestPrefixesMatchForSharedBeginning(t *testing.T) {
	is := is.New(t)
	shared := strings.Repeat("explain the fault in the course ", 10) // 60 words
	prefixes, words := saddleroute.Prefixes(shared + "of the wall at bay seven")
	otherPrefixes, _ := saddleroute.Prefixes(shared + "next to the gate, where it leans")
	is.Equal(words, 66)
	is.Equal(len(prefixes), 3) // 16, 32 and 64 words
	is.Equal(prefixes[:2], otherPrefixes[:2])
	is.True(prefixes[2] != otherPrefixes[2])
}

func TestSlowTargetGetsFewerRequests(t *testing.T) {
	is := is.New(t)
	v := view(engineMember("slow", 0, 2), engineMember("sound", 0, 2))
	r := router()
	chosen := map[fireflysaddle.TargetID]int{}
	for n := range 300 {
		chain, ok := r.ChooseChain(startTime, v, newRequirements())
		is.True(ok)
		id := chain.Head().Target
		rate := 20.0
		if n >= 100 && id == "slow" {
			rate = 1
		}
		if n >= 200 {
			chosen[id]++
		}
		r.RecordResult(startTime, chain.Head(), saddleroute.Result{Outcome: saddleretry.Succeeded, Rate: rate})
	}
	is.True(chosen["slow"] < 40) // of 100 choices; equal rates would give 50
}

func TestAtMostHalfOfTheTargetsAreExcluded(t *testing.T) {
	is := is.New(t)
	v := viewWithEngines(8)
	r := router()
	failed := map[fireflysaddle.TargetID]bool{}
	for range 200 {
		chain, ok := r.ChooseChain(startTime, v, newRequirements())
		is.True(ok)
		failed[chain.Head().Target] = true
		r.RecordResult(startTime, chain.Head(), saddleroute.Result{Outcome: saddleretry.Failed})
	}
	is.Equal(len(failed), 8)
	chosen := map[fireflysaddle.TargetID]bool{}
	for range 200 {
		chain, ok := r.ChooseChain(startTime, v, newRequirements())
		is.True(ok)
		chosen[chain.Head().Target] = true
		r.RecordResult(startTime, chain.Head(), saddleroute.Result{})
	}
	is.Equal(len(chosen), 4)
}

func TestRestartClosesTheCircuit(t *testing.T) {
	is := is.New(t)
	r := router()
	v := view(engineMember("one", 0, 2), engineMember("two", 0, 2))
	chain, ok := r.ChooseChain(startTime, v, newRequirements())
	is.True(ok)
	failed := chain.Head().Target
	r.RecordResult(startTime, chain.Head(), saddleroute.Result{Outcome: saddleretry.Failed})
	requirements := newRequirements()
	requirements.Avoid = map[fireflysaddle.TargetID]bool{"one": failed != "one", "two": failed != "two"}
	_, ok = r.ChooseChain(startTime, v, requirements)
	is.True(!ok) // the only target not avoided has an open circuit
	restarted := view(engineMember("one", 0, 2), engineMember("two", 0, 2))
	restarted.Members["agent-"+string(failed)].Incarnation = 2
	_, ok = r.ChooseChain(startTime, restarted, requirements)
	is.True(ok)
}

func TestRateOfAttemptInProgressAffectsChoice(t *testing.T) {
	is := is.New(t)
	v := view(engineMember("one", 0, 2), engineMember("two", 0, 2))
	r := router()
	first, ok := r.ChooseChain(startTime, v, newRequirements())
	is.True(ok)
	r.RecordResult(startTime, first.Head(), saddleroute.Result{Outcome: saddleretry.Succeeded})
	for range 10 {
		r.RecordTokenRate(first.Head().Target, 0.5)
	}
	sameTarget := 0
	for range 200 {
		chain, ok := r.ChooseChain(startTime, v, newRequirements())
		is.True(ok)
		if chain.Head().Target == first.Head().Target {
			sameTarget++
		}
		r.RecordResult(startTime, chain.Head(), saddleroute.Result{Outcome: saddleretry.Succeeded})
	}
	is.True(sameTarget < 70) // of 200 choices; equal rates would give 100
}
