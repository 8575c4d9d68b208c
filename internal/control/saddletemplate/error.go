package saddletemplate

import "fmt"

// Error reports an invalid template or an invalid parameter.
type Error struct {
	Template  string
	Parameter string // empty if the template itself is invalid
	Value     string
	Reason    string
}

// Error returns a message with the template, the parameter, the value and the
// reason.
func (e *Error) Error() string {
	if e.Parameter == "" {
		return fmt.Sprintf("template %q: %s", e.Template, e.Reason)
	}
	return fmt.Sprintf("template %q: parameter %q = %q: %s", e.Template, e.Parameter, e.Value, e.Reason)
}
