// Package saddlechoice implements fireflysaddle.Chooser. Choosers do no I/O and
// read no clock.
package saddlechoice
