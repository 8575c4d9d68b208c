// Package fireflysaddle defines the identifiers, units, errors and interfaces
// shared by all packages of the router. It imports none of them.
//
// The packages in internal/ implement the interfaces. They form layers, from bottom
// to top: target adapters, agents, entries and control, commands. A layer imports
// only layers below it.
package fireflysaddle
