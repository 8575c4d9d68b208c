// Package saddleretry limits retries with budgets and circuit breakers. It does
// no I/O and reads no clock: callers pass the time.
package saddleretry
