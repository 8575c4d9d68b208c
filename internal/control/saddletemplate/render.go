package saddletemplate

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	defaultWeight  = 1
	defaultTimeout = 60 * time.Second
	maxTimeout     = time.Hour
	keyHashBytes   = 32
)

// Render substitutes the parameters of a workspace and returns the deployment
// without its revisions. Errors are of type *Error; the returned deployment is nil
// if there is an error.
func (t *Template) Render(workspace string, parameters map[string]string) (*saddlewire.Deployment, error) {
	if !ValidName(workspace) {
		return nil, &Error{Template: t.Name, Reason: fmt.Sprintf("workspace name %q must be letters, digits, '.', '_' or '-'", workspace)}
	}
	values, err := t.parameterValues(parameters)
	if err != nil {
		return nil, err
	}
	substituted, _ := substitute(t.deployment, values).(map[string]any)
	d, err := t.decodeDeployment(substituted)
	if err != nil {
		return nil, err
	}
	return t.buildDeployment(workspace, parameters, d)
}

// parameterValues parses the parameters of a workspace and adds the defaults.
func (t *Template) parameterValues(texts map[string]string) (map[string]any, error) {
	for _, name := range slices.Sorted(maps.Keys(texts)) {
		if _, ok := t.parameters[name]; !ok {
			return nil, &Error{Template: t.Name, Parameter: name, Value: texts[name], Reason: "is unknown"}
		}
	}
	values := make(map[string]any, len(t.parameters))
	for _, name := range slices.Sorted(maps.Keys(t.parameters)) {
		p := t.parameters[name]
		text, ok := texts[name]
		switch {
		case !ok && p.Default != nil:
			text = *p.Default
		case !ok && p.Required:
			return nil, &Error{Template: t.Name, Parameter: name, Reason: "is required"}
		case !ok:
			return nil, &Error{Template: t.Name, Parameter: name, Reason: "has no default and was not given"}
		}
		value, reason := p.parse(text)
		if reason != "" {
			return nil, &Error{Template: t.Name, Parameter: name, Value: text, Reason: reason}
		}
		values[name] = value
	}
	return values, nil
}

// substitute returns a copy of a value in which the placeholders are replaced.
func substitute(value any, values map[string]any) any {
	switch v := value.(type) {
	case string:
		return substituteString(v, values)
	case []any:
		out := make([]any, len(v))
		for i, item := range v {
			out[i] = substitute(item, values)
		}
		return out
	case []map[string]any:
		out := make([]any, len(v))
		for i, item := range v {
			out[i] = substitute(item, values)
		}
		return out
	case map[string]any:
		out := make(map[string]any, len(v))
		for key, item := range v {
			out[key] = substitute(item, values)
		}
		return out
	}
	return value
}

func substituteString(text string, values map[string]any) any {
	if groups := placeholderPattern.FindStringSubmatch(text); groups != nil && groups[0] == text {
		return values[groups[1]]
	}
	return placeholderPattern.ReplaceAllStringFunc(text, func(match string) string {
		name := placeholderPattern.FindStringSubmatch(match)[1]
		return fmt.Sprint(values[name])
	})
}

// decodeDeployment encodes the substituted table as TOML and decodes it into a
// deployment, so that types and unknown keys are checked strictly.
func (t *Template) decodeDeployment(substituted map[string]any) (deployment, error) {
	var d deployment
	var buf bytes.Buffer
	if err := toml.NewEncoder(&buf).Encode(substituted); err != nil {
		return d, &Error{Template: t.Name, Reason: err.Error()}
	}
	meta, err := toml.NewDecoder(&buf).Decode(&d)
	if err != nil {
		return d, &Error{Template: t.Name, Reason: err.Error()}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return d, &Error{Template: t.Name, Reason: fmt.Sprintf("unknown key %q under deployment", unknown[0].String())}
	}
	return d, nil
}

func (t *Template) buildDeployment(workspace string, parameters map[string]string, d deployment) (*saddlewire.Deployment, error) {
	out := &saddlewire.Deployment{
		Workspace:  workspace,
		Template:   t.Name,
		Parameters: parameters,
		Weight:     max(d.Weight, defaultWeight),
		Priority:   d.Priority,
		TimeoutMs:  defaultTimeout.Milliseconds(),
	}
	for _, key := range d.Keys {
		if b, err := hex.DecodeString(key); err != nil || len(b) != keyHashBytes {
			return nil, &Error{Template: t.Name, Reason: "each of deployment.keys must be the hex SHA-256 of a key"}
		}
		out.KeyHashes = append(out.KeyHashes, strings.ToLower(key))
	}
	if d.Timeout != "" {
		timeout, err := time.ParseDuration(d.Timeout)
		if err != nil || timeout <= 0 || timeout > maxTimeout {
			return nil, &Error{Template: t.Name, Reason: fmt.Sprintf("deployment.timeout = %q must be a duration above 0 and at most %s", d.Timeout, maxTimeout)}
		}
		out.TimeoutMs = timeout.Milliseconds()
	}
	out.Grants = append(grants(d.Models, fireflysaddle.KindEngine), grants(d.Services, fireflysaddle.KindService)...)
	if len(out.GetGrants()) == 0 {
		return nil, &Error{Template: t.Name, Reason: "deployment needs models or services"}
	}
	return out, nil
}

func grants(in []grant, kind fireflysaddle.TargetKind) []*saddlewire.Grant {
	var out []*saddlewire.Grant
	for _, g := range in {
		out = append(out, &saddlewire.Grant{Group: g.Name, Kind: string(kind), Version: g.Version})
	}
	return out
}
