package saddleroute_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
)

func TestSparesHoldTheLayersOfTheLaterStages(t *testing.T) {
	is := is.New(t)
	router := router()
	other := engine("other-version", 1, 2)
	other.Target.Version = "0"
	leaving := engine("leaving", 1, 2)
	leaving.Leaving = true
	v := view(engine("head", 0, 1), engine("b1", 1, 2), engine("b2", 1, 2), engine("b3", 1, 2), engine("whole", 0, 2), engine("failed", 1, 2), other, leaving)
	need := saddleroute.Requirements{Group: model, Kind: fireflysaddle.KindEngine, Avoid: map[fireflysaddle.TargetID]bool{"whole": true, "failed": true}}
	chain, ok := router.ChooseChain(epoch, v, need)
	is.True(ok)
	is.Equal(chain.Len(), 2)
	offered := map[fireflysaddle.TargetID]bool{}
	for range 6 {
		spares := router.Spares(epoch, v, need, chain, 2)
		is.Equal(len(spares), 2)
		for _, s := range spares {
			offered[s.Target] = true
		}
	}
	want := map[fireflysaddle.TargetID]bool{"b1": true, "b2": true, "b3": true}
	delete(want, chain.Stages()[1].Target)
	is.Equal(offered, want) // the same layers and version, staying, neither in the chain nor avoided
}
