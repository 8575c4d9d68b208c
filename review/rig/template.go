package main

import (
	"fmt"
	"regexp"
	"strings"
)

// fields are the values of a settings template, by name with dots.
type fields map[string]any

var (
	sectionPattern  = regexp.MustCompile(`(?s)\{\{([#^])([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	variablePattern = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in a settings template in the way of the platform, as far as the
// templates of this repository need it.
func render(text string, f fields) string {
	text = sectionPattern.ReplaceAllStringFunc(text, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		value, inverted, body := f[m[2]], m[1] == "^", m[3]
		if list, ok := value.([]string); ok && !inverted {
			return renderList(body, list)
		}
		set := value != nil && value != false
		if set == inverted {
			return ""
		}
		return body
	})
	return variablePattern.ReplaceAllStringFunc(text, func(s string) string {
		value := f[strings.Trim(s, "{}")]
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

func renderList(body string, list []string) string {
	var out strings.Builder
	for i, v := range list {
		comma := ","
		if i == len(list)-1 {
			comma = ""
		}
		out.WriteString(strings.NewReplacer("{{.}}", v, "{{,}}", comma).Replace(body))
	}
	return out.String()
}
