package saddleroute_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
)

func TestSparesMatchLaterStages(t *testing.T) {
	is := is.New(t)
	router := router()
	otherVersion := engineMember("other-version", 1, 2)
	otherVersion.Target.Version = "0"
	leaving := engineMember("leaving", 1, 2)
	leaving.Leaving = true
	v := view(engineMember("head", 0, 1), engineMember("b1", 1, 2), engineMember("b2", 1, 2), engineMember("b3", 1, 2), engineMember("whole", 0, 2), engineMember("failed", 1, 2), otherVersion, leaving)
	requirements := saddleroute.Requirements{Group: model, Kind: fireflysaddle.KindEngine, Avoid: map[fireflysaddle.TargetID]bool{"whole": true, "failed": true}}
	chain, ok := router.ChooseChain(startTime, v, requirements)
	is.True(ok)
	is.Equal(chain.Len(), 2)
	offered := map[fireflysaddle.TargetID]bool{}
	for range 6 {
		spares := router.Spares(startTime, v, requirements, chain, 2)
		is.Equal(len(spares), 2)
		for _, s := range spares {
			offered[s.Target] = true
		}
	}
	want := map[fireflysaddle.TargetID]bool{"b1": true, "b2": true, "b3": true}
	delete(want, chain.Stages()[1].Target)
	is.Equal(offered, want) // same layers and version, not leaving, neither in the chain nor avoided
}
