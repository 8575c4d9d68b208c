// Package saddlegrant limits how many engines load weights at the same time. Concurrent
// loads share the bandwidth of the weight store: a few of them finish soon, but many of
// them all take long. The package reads no clock and does no I/O.
package saddlegrant
