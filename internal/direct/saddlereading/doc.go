// Package saddlereading decides how much the prompts that an engine is reading count against it
// when an engine is selected for the next prompt. It has no clock and performs no I/O.
package saddlereading
