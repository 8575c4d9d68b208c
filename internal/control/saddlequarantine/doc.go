// Package saddlequarantine finds the prompt parts that end engines, from what the entries
// report, and decides which requests are refused because of them. It has no side effects.
package saddlequarantine
