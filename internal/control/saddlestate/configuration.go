package saddlestate

import (
	"maps"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddletemplate"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// putTemplate stores a new revision of a template and re-renders every
// deployment made from it. If one of them cannot be rendered, the command is
// refused and nothing changes.
func (s *State) putTemplate(index uint64, put *saddlewire.PutTemplate) *saddlewire.Result {
	current := s.templates[put.GetName()].GetRevision()
	if put.GetBase() != current {
		return conflict("template", put.GetName(), put.GetBase(), current)
	}
	template, err := saddletemplate.Parse(put.GetName(), put.GetBody())
	if err != nil {
		return refuse(fireflysaddle.CodeInvalid, "%v", err)
	}
	next := &saddlewire.Template{Name: put.GetName(), Revision: current + 1, Body: put.GetBody()}
	var rendered []*saddlewire.Deployment
	for _, old := range s.Deployments() {
		if old.GetTemplate() != put.GetName() {
			continue
		}
		d, err := template.Render(old.GetWorkspace(), old.GetParameters())
		if err != nil {
			return refuse(fireflysaddle.CodeInvalid, "workspace %q: %v", old.GetWorkspace(), err)
		}
		d.Revision = old.GetRevision() + 1
		d.TemplateRevision = next.GetRevision()
		d.Index = index
		rendered = append(rendered, d)
	}
	if workspaceA, workspaceB := s.workspacesSharingKey(rendered); workspaceA != "" {
		return refuse(fireflysaddle.CodeInvalid, "workspaces %q and %q would have a key in common", workspaceA, workspaceB)
	}
	s.templates[put.GetName()] = next
	for _, d := range rendered {
		s.deployments[d.GetWorkspace()] = d
	}
	return s.accept(index, next.GetRevision())
}

func (s *State) putDeployment(index uint64, put *saddlewire.PutDeployment) *saddlewire.Result {
	current := s.deployments[put.GetWorkspace()].GetRevision()
	if put.GetBase() != current {
		return conflict("deployment", put.GetWorkspace(), put.GetBase(), current)
	}
	t, ok := s.templates[put.GetTemplate()]
	if !ok {
		return refuse(fireflysaddle.CodeNotFound, "template %q does not exist", put.GetTemplate())
	}
	template, err := saddletemplate.Parse(t.GetName(), t.GetBody())
	if err != nil {
		return refuse(fireflysaddle.CodeInvalid, "%v", err)
	}
	d, err := template.Render(put.GetWorkspace(), put.GetParameters())
	if err != nil {
		return refuse(fireflysaddle.CodeInvalid, "%v", err)
	}
	if workspaceA, workspaceB := s.workspacesSharingKey([]*saddlewire.Deployment{d}); workspaceA != "" {
		return refuse(fireflysaddle.CodeInvalid, "workspaces %q and %q would have a key in common", workspaceA, workspaceB)
	}
	d.Revision = current + 1
	d.TemplateRevision = t.GetRevision()
	d.Index = index
	s.deployments[put.GetWorkspace()] = d
	return s.accept(index, d.GetRevision())
}

// workspacesSharingKey returns two workspaces that would have a bearer key in
// common if the given deployments replaced their earlier revisions, or empty
// strings if there are none.
func (s *State) workspacesSharingKey(changed []*saddlewire.Deployment) (workspaceA, workspaceB string) {
	next := make(map[string]*saddlewire.Deployment, len(s.deployments)+len(changed))
	maps.Copy(next, s.deployments)
	for _, d := range changed {
		next[d.GetWorkspace()] = d
	}
	owners := map[string]string{}
	for _, d := range sortedByKey(next) {
		for _, hash := range d.GetKeyHashes() {
			owner, ok := owners[hash]
			if ok && owner != d.GetWorkspace() {
				return owner, d.GetWorkspace()
			}
			owners[hash] = d.GetWorkspace()
		}
	}
	return "", ""
}

func (s *State) putDrain(index uint64, put *saddlewire.PutDrain) *saddlewire.Result {
	old := s.drains[put.GetTarget()]
	if put.GetTarget() == "" {
		return refuse(fireflysaddle.CodeInvalid, "a drain names no target")
	}
	if old.GetActive() == put.GetActive() {
		return s.accept(s.revision, old.GetRevision())
	}
	next := &saddlewire.Drain{Target: put.GetTarget(), Revision: old.GetRevision() + 1, Active: put.GetActive(), Index: index}
	s.drains[put.GetTarget()] = next
	return s.accept(index, next.GetRevision())
}

// accept sets the revision of the configuration to a log index and returns an
// accepted result with the revision of the changed object.
func (s *State) accept(index, revision uint64) *saddlewire.Result {
	s.revision = index
	return &saddlewire.Result{Accepted: true, Revision: revision}
}
