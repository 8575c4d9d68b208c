// Package saddlequarantine finds the traits that end targets, from what the entries
// report, and decides which requests are refused because of them. It has no side effects.
package saddlequarantine
