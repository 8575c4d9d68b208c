// Package fireflysaddle holds the identifiers, units, errors and interfaces
// that the parts of the router share. It imports none of them.
//
// The packages below internal/ implement the interfaces; each layer knows the
// layers below it and nothing of those above: target adapters, then agents,
// then entries and control, then commands.
package fireflysaddle
