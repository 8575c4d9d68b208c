package saddletemplate

import (
	"strconv"
	"strings"
)

// Parameter describes one parameter of a template.
type Parameter struct {
	Type     string  `toml:"type"` // "string", "int", "bool", "list"
	Required bool    `toml:"required"`
	Default  *string `toml:"default"` // as text for all types
	Min      *int64  `toml:"min"`     // "int" only
	Max      *int64  `toml:"max"`     // "int" only
}

// listSeparator separates the items of a "list" parameter.
const listSeparator = ","

// parse converts text to the type of the parameter. reason says why the text is
// invalid, and is empty if the text is valid.
func (p Parameter) parse(text string) (value any, reason string) {
	switch p.Type {
	case "string":
		return text, ""
	case "bool":
		b, err := strconv.ParseBool(text)
		if err != nil {
			return nil, `must be "true" or "false"`
		}
		return b, ""
	case "list":
		return splitList(text), ""
	default:
		return p.parseInt(text)
	}
}

func (p Parameter) parseInt(text string) (value any, reason string) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return nil, "must be a whole number"
	}
	if p.Min != nil && n < *p.Min {
		return nil, "must be at least " + strconv.FormatInt(*p.Min, 10)
	}
	if p.Max != nil && n > *p.Max {
		return nil, "must be at most " + strconv.FormatInt(*p.Max, 10)
	}
	return n, ""
}

func splitList(text string) []any {
	var items []any
	for item := range strings.SplitSeq(text, listSeparator) {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
