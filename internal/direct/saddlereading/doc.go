// Package saddlereading estimates how long the long prompts that an engine is reading delay
// the next prompt at this engine. It has no clock and performs no I/O.
package saddlereading
