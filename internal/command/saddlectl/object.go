package saddlectl

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// configObject is a revision of a template, deployment or placement.
type configObject struct {
	Kind       string            `json:"kind"`
	Name       string            `json:"name"`
	Revision   uint64            `json:"revision"`
	Template   string            `json:"template,omitempty"`
	Parameters map[string]string `json:"parameters,omitempty"`
	Body       string            `json:"body,omitempty"`
}

const (
	kindTemplate   = "template"
	kindDeployment = "deployment"
	kindTarget     = "target"
	kindPlacement  = "placement"
)

// String describes the object in one line, without a template's body.
func (o configObject) String() string {
	text := fmt.Sprintf("%s %s revision %d", o.Kind, o.Name, o.Revision)
	if o.Template != "" {
		text += " of template " + o.Template
	}
	for _, name := range slices.Sorted(maps.Keys(o.Parameters)) {
		text += fmt.Sprintf(" %s=%q", name, o.Parameters[name])
	}
	return text
}

// findObject returns the named template, deployment or placement, or nil.
func findObject(state *saddlewire.ReadResponse, kind, name string) *configObject {
	if kind == kindTemplate {
		if t := findTemplate(state, name); t != nil {
			return &configObject{Kind: kind, Name: name, Revision: t.GetRevision(), Body: t.GetBody()}
		}
		return nil
	}
	if kind == kindPlacement {
		if p := findPlacement(state, name); p != nil {
			return &configObject{Kind: kind, Name: name, Revision: p.GetRevision()}
		}
		return nil
	}
	if d := findDeployment(state, name); d != nil {
		return &configObject{Kind: kind, Name: name, Revision: d.GetRevision(), Template: d.GetTemplate(), Parameters: d.GetParameters()}
	}
	return nil
}

func findTemplate(state *saddlewire.ReadResponse, name string) *saddlewire.Template {
	for _, t := range state.GetTemplates() {
		if t.GetName() == name {
			return t
		}
	}
	return nil
}

func findDeployment(state *saddlewire.ReadResponse, workspace string) *saddlewire.Deployment {
	for _, d := range state.GetDeployments() {
		if d.GetWorkspace() == workspace {
			return d
		}
	}
	return nil
}
