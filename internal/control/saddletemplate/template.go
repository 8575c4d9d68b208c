package saddletemplate

import (
	"bytes"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

const (
	maxNameBytes = 100
	maxBodyBytes = 256 << 10 // size limit of the text of a template

	deploymentTable  = "deployment" // key of the table with placeholders
	placeholderStart = "${"
)

var (
	namePattern        = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]*$`)
	placeholderPattern = regexp.MustCompile(`\$\{([a-zA-Z0-9_]+)\}`)
	parameterTypes     = []string{"string", "int", "bool", "list"}

	deploymentKeys = []string{"keys", "weight", "priority", "timeout", "models", "services"}
	grantKeys      = []string{"name", "version"}
)

// Template is a parsed template.
type Template struct {
	Name       string
	parameters map[string]Parameter
	deployment map[string]any
}

// templateFile is the TOML document of a template.
type templateFile struct {
	Name       string               `toml:"name"`
	Parameters map[string]Parameter `toml:"parameters"`
	Deployment map[string]any       `toml:"deployment"`
}

// ValidName reports whether a template or workspace may have this name.
func ValidName(name string) bool {
	return len(name) <= maxNameBytes && namePattern.MatchString(name)
}

// Name returns the name that the text of a template sets, or an empty string if
// it sets none.
func Name(body string) (string, error) {
	f, err := decodeTemplateFile("", body)
	return f.Name, err
}

// Parse parses and checks the text of a template. Errors are of type *Error.
func Parse(name, body string) (*Template, error) {
	if !ValidName(name) {
		return nil, &Error{Template: name, Reason: "the name must be letters, digits, '.', '_' or '-'"}
	}
	f, err := decodeTemplateFile(name, body)
	if err != nil {
		return nil, err
	}
	if f.Name != "" && f.Name != name {
		return nil, &Error{Template: name, Reason: fmt.Sprintf("the text is named %q", f.Name)}
	}
	t := &Template{Name: name, parameters: f.Parameters, deployment: f.Deployment}
	if err := t.checkParameters(); err != nil {
		return nil, err
	}
	if err := t.checkPlaceholders(t.deployment); err != nil {
		return nil, err
	}
	return t, t.checkDeploymentKeys()
}

func decodeTemplateFile(name, body string) (templateFile, error) {
	var f templateFile
	if len(body) > maxBodyBytes {
		return f, &Error{Template: name, Reason: fmt.Sprintf("the text exceeds %d bytes", maxBodyBytes)}
	}
	meta, err := toml.NewDecoder(bytes.NewReader([]byte(body))).Decode(&f)
	if err != nil {
		return f, &Error{Template: name, Reason: err.Error()}
	}
	for _, key := range meta.Undecoded() {
		if key[0] != deploymentTable { // keys in this table are checked by checkDeploymentKeys and Render
			return f, &Error{Template: name, Reason: fmt.Sprintf("unknown key %q", key.String())}
		}
	}
	return f, nil
}

func (t *Template) checkParameters() error {
	for _, name := range slices.Sorted(maps.Keys(t.parameters)) {
		p := t.parameters[name]
		if !slices.Contains(parameterTypes, p.Type) {
			return &Error{Template: t.Name, Parameter: name, Value: p.Type, Reason: fmt.Sprintf("type must be one of %q", parameterTypes)}
		}
		if p.Default == nil {
			continue
		}
		if _, reason := p.parse(*p.Default); reason != "" {
			return &Error{Template: t.Name, Parameter: name, Value: *p.Default, Reason: "default " + reason}
		}
	}
	return nil
}

// checkPlaceholdersInString reports placeholders in a string that are malformed or
// refer to an undeclared parameter.
func (t *Template) checkPlaceholdersInString(text string) error {
	for _, m := range placeholderPattern.FindAllStringSubmatch(text, -1) {
		if _, ok := t.parameters[m[1]]; !ok {
			return &Error{Template: t.Name, Parameter: m[1], Value: text, Reason: "is used and not declared"}
		}
	}
	if strings.Contains(placeholderPattern.ReplaceAllString(text, ""), placeholderStart) {
		return &Error{Template: t.Name, Reason: fmt.Sprintf("%q holds a placeholder that is not ${name}", text)}
	}
	return nil
}

// checkDeploymentKeys reports a missing or empty deployment table and unknown
// keys in it.
func (t *Template) checkDeploymentKeys() error {
	if len(t.deployment) == 0 {
		return &Error{Template: t.Name, Reason: "the table deployment is missing or empty"}
	}
	for _, key := range slices.Sorted(maps.Keys(t.deployment)) {
		value := t.deployment[key]
		if !slices.Contains(deploymentKeys, key) {
			return &Error{Template: t.Name, Reason: fmt.Sprintf("unknown key %q under deployment", key)}
		}
		if err := t.checkGrantKeys(key, value); err != nil {
			return err
		}
	}
	return nil
}

func (t *Template) checkGrantKeys(key string, value any) error {
	var tables []map[string]any
	switch v := value.(type) {
	case []map[string]any:
		tables = v
	case []any:
		for _, item := range v {
			if table, ok := item.(map[string]any); ok {
				tables = append(tables, table)
			}
		}
	}
	for _, table := range tables {
		for _, name := range slices.Sorted(maps.Keys(table)) {
			if !slices.Contains(grantKeys, name) {
				return &Error{Template: t.Name, Reason: fmt.Sprintf("unknown key %q under deployment.%s", name, key)}
			}
		}
	}
	return nil
}

// checkPlaceholders calls checkPlaceholdersInString for all strings in a value.
func (t *Template) checkPlaceholders(value any) error {
	switch v := value.(type) {
	case string:
		return t.checkPlaceholdersInString(v)
	case []any:
		for _, item := range v {
			if err := t.checkPlaceholders(item); err != nil {
				return err
			}
		}
	case []map[string]any:
		for _, item := range v {
			if err := t.checkPlaceholders(item); err != nil {
				return err
			}
		}
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(v)) {
			if err := t.checkPlaceholders(v[key]); err != nil {
				return err
			}
		}
	}
	return nil
}
