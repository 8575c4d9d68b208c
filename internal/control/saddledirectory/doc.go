// Package saddledirectory stands in for a control replica on a VM without a disk: it
// holds no state that must survive, and tells nodes and new replicas where the
// replicas are.
package saddledirectory
