// Package saddletemplate parses deployment templates and renders them with a
// workspace's parameters. Everything in it is pure.
//
// A template is TOML: a table of typed parameters and the deployment they fill
// in. A string that is just "${name}" takes the parameter's typed value; inside
// a longer string the value is written out.
package saddletemplate
