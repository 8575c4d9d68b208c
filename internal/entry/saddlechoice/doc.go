// Package saddlechoice holds the ways of choosing a target. They are pure
// deciders and implement fireflysaddle.Chooser.
package saddlechoice
