package saddlectl

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/BurntSushi/toml"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddletemplate"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// fleetFile is the content of a file that apply reads.
type fleetFile struct {
	Templates   []string          `toml:"templates"` // paths relative to the fleet file
	Deployments []fleetDeployment `toml:"deployments"`
}

// fleetDeployment is a deployment of a template for a workspace.
type fleetDeployment struct {
	Workspace  string            `toml:"workspace"`
	Template   string            `toml:"template"`
	Parameters map[string]string `toml:"parameters"`
}

// fleetTemplate is the source of a template.
type fleetTemplate struct {
	name string
	body string
}

// readFleet reads a fleet file and the templates that it lists. It validates all of
// them, so that an invalid file is rejected before any part of it is submitted.
func readFleet(file string) (fleetFile, []fleetTemplate, error) {
	var f fleetFile
	meta, err := toml.DecodeFile(file, &f)
	if err != nil {
		return f, nil, fmt.Errorf("%s: %w", file, err)
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return f, nil, fmt.Errorf("%s: unknown key %q", file, extra[0].String())
	}
	var templates []fleetTemplate
	parsed := map[string]*saddletemplate.Template{}
	for _, name := range f.Templates {
		path := filepath.Join(filepath.Dir(file), name)
		t, p, err := readTemplate(path)
		if err != nil {
			return f, nil, fmt.Errorf("%s: %w", path, err)
		}
		templates = append(templates, t)
		parsed[t.name] = p
	}
	seen := map[string]bool{}
	for _, d := range f.Deployments {
		if seen[d.Workspace] {
			return f, nil, fmt.Errorf("%s: workspace %q is listed twice", file, d.Workspace)
		}
		seen[d.Workspace] = true
		t, ok := parsed[d.Template]
		if !ok {
			continue // not listed in the file; control may hold the template
		}
		if _, err := t.Render(d.Workspace, d.Parameters); err != nil {
			return f, nil, fmt.Errorf("%s: workspace %q: %w", file, d.Workspace, err)
		}
	}
	return f, templates, nil
}

// RenderFleet validates a fleet file as apply does and returns its deployments as
// control renders them. It fails unless the file lists the template of every
// deployment.
func RenderFleet(file string) ([]*saddlewire.Deployment, error) {
	f, templates, err := readFleet(file)
	if err != nil {
		return nil, err
	}
	parsed := map[string]*saddletemplate.Template{}
	for _, t := range templates {
		if parsed[t.name], err = saddletemplate.Parse(t.name, t.body); err != nil {
			return nil, err
		}
	}
	var out []*saddlewire.Deployment
	for _, d := range f.Deployments {
		t, ok := parsed[d.Template]
		if !ok {
			return nil, &notFoundError{kind: kindTemplate, name: d.Template}
		}
		rendered, err := t.Render(d.Workspace, d.Parameters)
		if err != nil {
			return nil, err
		}
		out = append(out, rendered)
	}
	return out, nil
}

func readTemplate(path string) (fleetTemplate, *saddletemplate.Template, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return fleetTemplate{}, nil, err
	}
	name, err := saddletemplate.Name(string(body))
	if err != nil {
		return fleetTemplate{}, nil, err
	}
	parsed, err := saddletemplate.Parse(name, string(body))
	return fleetTemplate{name: name, body: string(body)}, parsed, err
}
