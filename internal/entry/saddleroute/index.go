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

// index groups the targets of one view that are neither leaving nor drained, so that
// a choice does not iterate over all of them. It is built once for each view.
type index struct {
	view     *saddleview.View
	services map[versionKey]*targetSet
	layouts  map[string][]*layout // layouts of each model, in descending order of version
}

// versionKey identifies the targets of a service group that run a version; an
// empty version means all versions.
type versionKey struct {
	group   string
	version string
}

// layout holds the engines of one version of a model that agree on its number of
// layers. byFirstLayer indexes them by their first layer.
type layout struct {
	version      string
	layerCount   fireflysaddle.Layer
	byFirstLayer map[fireflysaddle.Layer]*targetSet
	engines      []*member
}

func (r *Router) indexFor(view *saddleview.View) *index {
	if r.index == nil || r.index.view != view {
		r.index = r.buildIndex(view)
	}
	return r.index
}

func (r *Router) buildIndex(view *saddleview.View) *index {
	idx := &index{view: view, services: map[versionKey]*targetSet{}, layouts: map[string][]*layout{}}
	for group, members := range view.Groups {
		r.circuitGroup(group).SetSize(len(members))
		for _, m := range members {
			if m.GetLeaving() || view.Drained(m.GetTarget().GetId()) {
				continue
			}
			idx.add(group, fireflysaddle.TargetKind(m.GetTarget().GetKind()), r.newMember(m))
		}
	}
	for _, layouts := range idx.layouts {
		slices.SortFunc(layouts, func(a, b *layout) int {
			return cmp.Or(cmp.Compare(b.version, a.version), cmp.Compare(a.layerCount, b.layerCount))
		})
		for _, l := range layouts {
			l.indexByFirstLayer()
		}
	}
	return idx
}

func (idx *index) add(group string, kind fireflysaddle.TargetKind, m *member) {
	if kind == fireflysaddle.KindEngine {
		idx.layout(group, m.version, m.stage.Layers.ModelLayers).add(m)
		return
	}
	for _, version := range []string{"", m.version} {
		key := versionKey{group: group, version: version}
		if idx.services[key] == nil {
			idx.services[key] = newTargetSet()
		}
		if _, ok := idx.services[key].byTarget[m.stage.Target]; !ok {
			idx.services[key].add(m)
		}
	}
}

func (idx *index) layout(group, version string, layerCount fireflysaddle.Layer) *layout {
	for _, l := range idx.layouts[group] {
		if l.version == version && l.layerCount == layerCount {
			return l
		}
	}
	l := &layout{version: version, layerCount: layerCount, byFirstLayer: map[fireflysaddle.Layer]*targetSet{}}
	idx.layouts[group] = append(idx.layouts[group], l)
	return l
}

func (l *layout) add(m *member) { l.engines = append(l.engines, m) }

// indexByFirstLayer fills byFirstLayer with the engines from which a chain can
// reach the last layer of the model.
func (l *layout) indexByFirstLayer() {
	reachesEnd := map[fireflysaddle.Layer]bool{l.layerCount: true}
	for changed := true; changed; {
		changed = false
		for _, m := range l.engines {
			layers := m.stage.Layers
			if layers.Check() == nil && reachesEnd[layers.To] && !reachesEnd[layers.From] {
				reachesEnd[layers.From] = true
				changed = true
			}
		}
	}
	for _, m := range l.engines {
		layers := m.stage.Layers
		if layers.Check() != nil || !reachesEnd[layers.To] {
			continue
		}
		if l.byFirstLayer[layers.From] == nil {
			l.byFirstLayer[layers.From] = newTargetSet()
		}
		l.byFirstLayer[layers.From].add(m)
	}
}

func (r *Router) newMember(m *saddlewire.Member) *member {
	t := m.GetTarget()
	id := fireflysaddle.TargetID(t.GetId())
	incarnation := fireflysaddle.Incarnation(m.GetIncarnation())
	return &member{
		version:     t.GetVersion(),
		slots:       int(t.GetSlots()),
		rate:        t.GetRate(),
		linkLatency: time.Duration(t.GetLinkMs() * float64(time.Millisecond)),
		targetState: r.stateFor(id, t.GetGroup(), incarnation, m.GetLoad()),
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
