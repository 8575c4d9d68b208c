// Package saddletally counts the outcomes in the output of go test -json and tells the
// failures that a list names from all others.
package saddletally
