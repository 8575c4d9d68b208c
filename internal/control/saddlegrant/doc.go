// Package saddlegrant limits how many engines load weights at the same time. Concurrent
// loads share the bandwidth of the weight store. If few engines load at the same time,
// each load finishes soon; if many do, all loads take long. The package reads no clock
// and does no I/O.
package saddlegrant
