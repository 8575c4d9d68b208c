package saddlestate

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// The kinds of object that have a history.
const (
	KindTemplate   = "template"
	KindDeployment = "deployment"
)

// maxHistory is the maximum number of revisions kept per object. The oldest are
// removed first.
const maxHistory = 20

// historyKey identifies a template or deployment.
type historyKey struct {
	kind string
	name string
}

// History returns the latest revisions of a template or deployment, oldest
// first.
func (s *State) History(kind, name string) []*saddlewire.PastRevision {
	return slices.Clone(s.history[historyKey{kind: kind, name: name}])
}

// recordHistory adds the revisions that the command at a log index created: the
// template or deployment itself, and the deployments re-rendered from a
// template.
func (s *State) recordHistory(index uint64, c *saddlewire.Command) {
	if put := c.GetPutTemplate(); put != nil {
		t := s.templates[put.GetName()]
		s.appendHistory(&saddlewire.PastRevision{
			Kind:     KindTemplate,
			Name:     t.GetName(),
			Revision: t.GetRevision(),
			Index:    index,
			NowNs:    c.GetNowNs(),
			Request:  c.GetRequest(),
			Body:     t.GetBody(),
		})
	}
	for _, d := range s.deployments {
		if d.GetIndex() != index {
			continue
		}
		s.appendHistory(&saddlewire.PastRevision{
			Kind:             KindDeployment,
			Name:             d.GetWorkspace(),
			Revision:         d.GetRevision(),
			Index:            index,
			NowNs:            c.GetNowNs(),
			Request:          c.GetRequest(),
			Template:         d.GetTemplate(),
			TemplateRevision: d.GetTemplateRevision(),
			Parameters:       d.GetParameters(),
		})
	}
}

func (s *State) appendHistory(p *saddlewire.PastRevision) {
	key := historyKey{kind: p.GetKind(), name: p.GetName()}
	revisions := s.history[key]
	revisions = append(revisions, p)
	s.history[key] = revisions[max(0, len(revisions)-maxHistory):]
}

// allHistory returns the past revisions of all objects for a snapshot. The
// revisions of each object are ordered from oldest to newest.
func (s *State) allHistory() []*saddlewire.PastRevision {
	var out []*saddlewire.PastRevision
	for _, revisions := range s.history {
		out = append(out, revisions...)
	}
	return out
}
