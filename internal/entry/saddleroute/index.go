package saddleroute

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// index arranges the targets of one view that take new work, so that a choice
// does not look at each of them. It is built once for each view.
type index struct {
	view     *saddleview.View
	services map[versionKey]*set
	engines  map[string][]*layout // by model, the latest version first
}

// versionKey names the targets of a group; an empty version stands for all.
type versionKey struct {
	group   string
	version string
}

// layout holds the engines of one version of a model by their first layer.
type layout struct {
	version string
	of      fireflysaddle.Layer
	starts  map[fireflysaddle.Layer]*set
	all     []*member
}

func (r *Router) indexOf(view *saddleview.View) *index {
	if r.index == nil || r.index.view != view {
		r.index = r.buildIndex(view)
	}
	return r.index
}

func (r *Router) buildIndex(view *saddleview.View) *index {
	x := &index{view: view, services: map[versionKey]*set{}, engines: map[string][]*layout{}}
	for group, members := range view.Groups {
		r.group(group).Resize(len(members))
		for _, m := range members {
			if m.GetLeaving() || view.Drained(m.GetTarget().GetId()) {
				continue
			}
			x.add(group, fireflysaddle.TargetKind(m.GetTarget().GetKind()), r.member(m))
		}
	}
	for _, layouts := range x.engines {
		slices.SortFunc(layouts, func(a, b *layout) int {
			return cmp.Or(cmp.Compare(b.version, a.version), cmp.Compare(a.of, b.of))
		})
		for _, l := range layouts {
			l.arrange()
		}
	}
	return x
}

func (x *index) add(group string, kind fireflysaddle.TargetKind, m *member) {
	if kind == fireflysaddle.KindEngine {
		x.layout(group, m.version, m.stage.Layers.Of).add(m)
		return
	}
	for _, version := range []string{"", m.version} {
		k := versionKey{group: group, version: version}
		if x.services[k] == nil {
			x.services[k] = newSet()
		}
		if _, ok := x.services[k].byTarget[m.stage.Target]; !ok {
			x.services[k].add(m)
		}
	}
}

func (x *index) layout(group, version string, of fireflysaddle.Layer) *layout {
	for _, l := range x.engines[group] {
		if l.version == version && l.of == of {
			return l
		}
	}
	l := &layout{version: version, of: of, starts: map[fireflysaddle.Layer]*set{}}
	x.engines[group] = append(x.engines[group], l)
	return l
}

func (l *layout) add(m *member) { l.all = append(l.all, m) }

// arrange keeps the engines from which the end of the model can be reached.
func (l *layout) arrange() {
	reaches := map[fireflysaddle.Layer]bool{l.of: true}
	for changed := true; changed; {
		changed = false
		for _, m := range l.all {
			layers := m.stage.Layers
			if layers.Check() == nil && reaches[layers.To] && !reaches[layers.From] {
				reaches[layers.From] = true
				changed = true
			}
		}
	}
	for _, m := range l.all {
		layers := m.stage.Layers
		if layers.Check() != nil || !reaches[layers.To] {
			continue
		}
		if l.starts[layers.From] == nil {
			l.starts[layers.From] = newSet()
		}
		l.starts[layers.From].add(m)
	}
}

func (r *Router) member(m *saddlewire.Member) *member {
	t := m.GetTarget()
	id := fireflysaddle.TargetID(t.GetId())
	incarnation := fireflysaddle.Incarnation(m.GetIncarnation())
	return &member{
		version: t.GetVersion(),
		slots:   int(t.GetSlots()),
		rate:    t.GetRate(),
		link:    time.Duration(t.GetLinkMs() * float64(time.Millisecond)),
		local:   r.of(id, t.GetGroup(), incarnation, m.GetLoad()),
		stage: saddlechain.Stage{
			Target:      id,
			Address:     m.GetAddress(),
			Incarnation: incarnation,
			Group:       fireflysaddle.Group(t.GetGroup()),
			Version:     fireflysaddle.Version(t.GetVersion()),
			Layers:      saddlechain.RangeFromWire(t.GetLayers()),
		},
	}
}
