// Package saddlechain builds and repairs chains of targets that together hold
// every layer of a model exactly once, in order. It performs no I/O and keeps no
// state.
package saddlechain
