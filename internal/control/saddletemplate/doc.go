// Package saddletemplate parses deployment templates and renders them with the
// parameters of a workspace. A rendered deployment depends only on the template
// and the parameters, because each control replica renders it on its own.
//
// A template is a TOML document with a table of typed parameters and a
// deployment that contains placeholders. A string that consists of the
// placeholder "${name}" alone is replaced by the typed value of the parameter.
// In a longer string, placeholders are replaced by the text of the value.
package saddletemplate
