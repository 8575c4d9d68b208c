package saddlechain

import (
	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// ToWire converts stages to their wire form.
func ToWire(stages []Stage) []*saddlewire.Stage {
	out := make([]*saddlewire.Stage, 0, len(stages))
	for _, s := range stages {
		out = append(out, &saddlewire.Stage{
			Target:      string(s.Target),
			Address:     s.Address,
			Incarnation: uint64(s.Incarnation),
			Group:       string(s.Group),
			Version:     string(s.Version),
			Layers:      &saddlewire.Layers{From: uint32(s.Layers.From), To: uint32(s.Layers.To), Of: uint32(s.Layers.ModelLayers)},
		})
	}
	return out
}

// FromWire converts stages from their wire form. It does not check them; New
// does.
func FromWire(stages []*saddlewire.Stage) []Stage {
	out := make([]Stage, 0, len(stages))
	for _, s := range stages {
		out = append(out, Stage{
			Target:      fireflysaddle.TargetID(s.GetTarget()),
			Address:     s.GetAddress(),
			Incarnation: fireflysaddle.Incarnation(s.GetIncarnation()),
			Group:       fireflysaddle.Group(s.GetGroup()),
			Version:     fireflysaddle.Version(s.GetVersion()),
			Layers:      RangeFromWire(s.GetLayers()),
		})
	}
	return out
}

// RangeFromWire converts a layer range from its wire form.
func RangeFromWire(l *saddlewire.Layers) fireflysaddle.LayerRange {
	return fireflysaddle.LayerRange{
		From:        fireflysaddle.Layer(l.GetFrom()),
		To:          fireflysaddle.Layer(l.GetTo()),
		ModelLayers: fireflysaddle.Layer(l.GetOf()),
	}
}
