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

// maxHistory bounds the revisions kept of one object; the oldest go first.
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

// noteHistory keeps what a command at a log index made: its own object and the
// deployments that a template rendered anew.
func (s *State) noteHistory(index uint64, c *saddlewire.Command) {
	if put := c.GetPutTemplate(); put != nil {
		t := s.templates[put.GetName()]
		s.keepPast(&saddlewire.PastRevision{
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
		s.keepPast(&saddlewire.PastRevision{
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

func (s *State) keepPast(p *saddlewire.PastRevision) {
	key := historyKey{kind: p.GetKind(), name: p.GetName()}
	kept := s.history[key]
	kept = append(kept, p)
	s.history[key] = kept[max(0, len(kept)-maxHistory):]
}

// allHistory returns the history of all objects for a snapshot.
func (s *State) allHistory() []*saddlewire.PastRevision {
	var out []*saddlewire.PastRevision
	for _, kept := range s.history {
		out = append(out, kept...)
	}
	return out
}
