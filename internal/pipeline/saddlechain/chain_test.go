package saddlechain_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
)

func stage(id string, from, to, layerCount int) saddlechain.Stage {
	return saddlechain.Stage{
		Target: fireflysaddle.TargetID(id),
		Layers: fireflysaddle.LayerRange{
			From: fireflysaddle.Layer(from), To: fireflysaddle.Layer(to), ModelLayers: fireflysaddle.Layer(layerCount),
		},
	}
}

func TestNewRejectsInexactCover(t *testing.T) {
	invalid := map[string][]saddlechain.Stage{
		"no stages":               nil,
		"a gap":                   {stage("a", 0, 2, 6), stage("b", 3, 6, 6)},
		"an overlap":              {stage("a", 0, 3, 6), stage("b", 2, 6, 6)},
		"no first layer":          {stage("a", 1, 6, 6)},
		"no last layer":           {stage("a", 0, 5, 6)},
		"layers beyond the model": {stage("a", 0, 6, 6), stage("b", 6, 8, 6)},
		"all layers twice":        {stage("a", 0, 6, 6), stage("b", 0, 6, 6)},
		"out of order":            {stage("b", 3, 6, 6), stage("a", 0, 3, 6)},
		"an empty range":          {stage("a", 0, 0, 6), stage("b", 0, 6, 6)},
		"different models":        {stage("a", 0, 3, 6), stage("b", 3, 8, 8)},
	}
	for name, stages := range invalid {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := saddlechain.New(stages)
			var cover *saddlechain.CoverError
			is.True(errors.As(err, &cover))
		})
	}
}

// covers reports whether each layer is in exactly one stage, in order.
func covers(stages []saddlechain.Stage, layerCount int) bool {
	next := 0
	for _, s := range stages {
		for l := int(s.Layers.From); l < int(s.Layers.To); l++ {
			if l != next {
				return false
			}
			next++
		}
	}
	return next == layerCount
}

func stageGenerator(layerCount int) *rapid.Generator[saddlechain.Stage] {
	return rapid.Custom(func(t *rapid.T) saddlechain.Stage {
		from := rapid.IntRange(0, layerCount).Draw(t, "from")
		return stage(rapid.StringN(3, 6, -1).Draw(t, "id"), from, rapid.IntRange(0, layerCount+1).Draw(t, "to"), layerCount)
	})
}

// New accepts a list if and only if it covers each layer exactly once, in order.
func TestNewAcceptsOnlyExactCovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layerCount := rapid.IntRange(1, 5).Draw(t, "layers")
		stages := rapid.SliceOfN(stageGenerator(layerCount), 0, 4).Draw(t, "stages")
		if rapid.Bool().Draw(t, "exact cover") { // because most random lists do not cover the model
			stages = nil
			for from := 0; from < layerCount; {
				to := rapid.IntRange(from+1, layerCount).Draw(t, "to")
				stages = append(stages, stage(fmt.Sprint(from), from, to, layerCount))
				from = to
			}
		}
		want := covers(stages, layerCount)
		for _, s := range stages {
			want = want && s.Layers.Check() == nil
		}
		if _, err := saddlechain.New(stages); (err == nil) != want {
			t.Fatalf("New(%v): %v, exact cover: %t", stages, err, want)
		}
	})
}
