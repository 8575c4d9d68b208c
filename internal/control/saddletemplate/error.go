package saddletemplate

import "fmt"

// Error says what is wrong with a template or with a parameter given to it.
type Error struct {
	Template  string
	Parameter string // empty: the template itself
	Value     string
	Reason    string
}

// Error names the template, the parameter and the value.
func (e *Error) Error() string {
	if e.Parameter == "" {
		return fmt.Sprintf("template %q: %s", e.Template, e.Reason)
	}
	return fmt.Sprintf("template %q: parameter %q = %q: %s", e.Template, e.Parameter, e.Value, e.Reason)
}
