package saddlechain

import (
	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// ToWire returns stages as they are sent between processes.
func ToWire(stages []Stage) []*saddlewire.Stage {
	out := make([]*saddlewire.Stage, 0, len(stages))
	for _, s := range stages {
		out = append(out, &saddlewire.Stage{
			Target:      string(s.Target),
			Address:     s.Address,
			Incarnation: uint64(s.Incarnation),
			Group:       string(s.Group),
			Version:     string(s.Version),
			Layers:      &saddlewire.Layers{From: uint32(s.Layers.From), To: uint32(s.Layers.To), Of: uint32(s.Layers.Of)},
		})
	}
	return out
}

// FromWire returns stages that another process sent. It checks nothing; New
// does.
func FromWire(in []*saddlewire.Stage) []Stage {
	out := make([]Stage, 0, len(in))
	for _, s := range in {
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

// RangeFromWire returns a layer range that another process sent.
func RangeFromWire(l *saddlewire.Layers) fireflysaddle.LayerRange {
	return fireflysaddle.LayerRange{
		From: fireflysaddle.Layer(l.GetFrom()),
		To:   fireflysaddle.Layer(l.GetTo()),
		Of:   fireflysaddle.Layer(l.GetOf()),
	}
}
