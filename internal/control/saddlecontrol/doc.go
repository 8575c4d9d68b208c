// Package saddlecontrol runs a control replica: one goroutine owns the
// replicated log, the state and the table of members; others carry traffic to
// and from it.
package saddlecontrol
