package saddlectl

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// renderedDeployment is a deployment as rendered from its template.
type renderedDeployment struct {
	Workspace        string            `json:"workspace"`
	Revision         uint64            `json:"revision"`
	Template         string            `json:"template"`
	TemplateRevision uint64            `json:"template_revision"`
	Parameters       map[string]string `json:"parameters"`
	KeyHashes        []string          `json:"key_hashes"`
	Weight           uint32            `json:"weight"`
	Priority         int32             `json:"priority"`
	TimeoutMs        int64             `json:"timeout_ms"`
	Grants           []grantRow        `json:"grants"`
}

// grantRow is a group that a workspace may use.
type grantRow struct {
	Kind    string `json:"kind"`
	Group   string `json:"group"`
	Version string `json:"version,omitempty"`
}

func newRenderedDeployment(d *saddlewire.Deployment) *renderedDeployment {
	out := &renderedDeployment{
		Workspace:        d.GetWorkspace(),
		Revision:         d.GetRevision(),
		Template:         d.GetTemplate(),
		TemplateRevision: d.GetTemplateRevision(),
		Parameters:       d.GetParameters(),
		KeyHashes:        d.GetKeyHashes(),
		Weight:           d.GetWeight(),
		Priority:         d.GetPriority(),
		TimeoutMs:        d.GetTimeoutMs(),
	}
	for _, g := range d.GetGrants() {
		out.Grants = append(out.Grants, grantRow{Kind: g.GetKind(), Group: g.GetGroup(), Version: g.GetVersion()})
	}
	return out
}

// lines returns the fields that can differ between two revisions, one per line.
func (r *renderedDeployment) lines() []string {
	out := []string{"template = " + r.Template}
	for _, name := range slices.Sorted(maps.Keys(r.Parameters)) {
		out = append(out, fmt.Sprintf("parameter %s = %q", name, r.Parameters[name]))
	}
	for _, h := range r.KeyHashes {
		out = append(out, "key hash = "+h)
	}
	out = append(out, fmt.Sprintf("weight = %d", r.Weight), fmt.Sprintf("priority = %d", r.Priority), fmt.Sprintf("timeout = %d ms", r.TimeoutMs))
	for _, g := range r.Grants {
		out = append(out, strings.TrimSpace(fmt.Sprintf("%s %s %s", g.Kind, g.Group, g.Version)))
	}
	return out
}

func (r *renderedDeployment) write(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s revision %d (template revision %d)\n", r.Workspace, r.Revision, r.TemplateRevision)
	for _, line := range r.lines() {
		_, _ = fmt.Fprintln(w, "  "+line)
	}
}
