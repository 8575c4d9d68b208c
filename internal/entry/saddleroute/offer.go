package saddleroute

import (
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// offer is a target that a request may go to.
type offer struct {
	stage     saddlechain.Stage
	candidate fireflysaddle.Candidate
	version   string
}

// offered returns the targets that a request may go to: of its group, version
// and kind, not leaving, not drained, not avoided, and with a closed circuit.
func (r *Router) offered(now time.Time, view *saddleview.View, need Need) []offer {
	var out []offer
	for _, m := range view.Groups[need.Group] {
		t := m.GetTarget()
		id := fireflysaddle.TargetID(t.GetId())
		switch {
		case m.GetLeaving() || view.Drained(t.GetId()) || need.Avoid[id]:
		case fireflysaddle.TargetKind(t.GetKind()) != need.Kind:
		case need.Version != "" && t.GetVersion() != need.Version:
		case !r.of(id).circuit.Allows(now):
		default:
			out = append(out, r.offer(now, m))
		}
	}
	return out
}

func (r *Router) offer(now time.Time, m *saddlewire.Member) offer {
	t := m.GetTarget()
	l := r.of(fireflysaddle.TargetID(t.GetId()))
	load := m.GetLoad()
	age := reportHorizon
	if l.load != nil {
		load = l.load
		age = now.Sub(l.reported)
	}
	return offer{
		version: t.GetVersion(),
		stage: saddlechain.Stage{
			Target:      fireflysaddle.TargetID(t.GetId()),
			Address:     m.GetAddress(),
			Incarnation: fireflysaddle.Incarnation(m.GetIncarnation()),
			Layers: fireflysaddle.LayerRange{
				From: fireflysaddle.Layer(t.GetLayers().GetFrom()),
				To:   fireflysaddle.Layer(t.GetLayers().GetTo()),
				Of:   fireflysaddle.Layer(t.GetLayers().GetOf()),
			},
		},
		candidate: fireflysaddle.Candidate{
			Target:    fireflysaddle.TargetID(t.GetId()),
			InFlight:  l.inFlight,
			Reported:  int(load.GetRunning() + load.GetQueued()),
			ReportAge: age,
			Slots:     int(t.GetSlots()),
			Rate:      t.GetRate(),
			Link:      time.Duration(t.GetLinkMs() * float64(time.Millisecond)),
			Wait:      time.Duration(load.GetWaitMs() * float64(time.Millisecond)),
		},
	}
}

// reportHorizon is the age that a report counts as where its age is unknown.
const reportHorizon = 5 * time.Second

// versions returns the versions on offer, the latest by name first.
func versions(offered []offer) []string {
	var out []string
	for _, o := range offered {
		if !slices.Contains(out, o.version) {
			out = append(out, o.version)
		}
	}
	slices.Sort(out)
	slices.Reverse(out)
	return out
}
