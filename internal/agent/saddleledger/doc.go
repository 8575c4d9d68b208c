// Package saddleledger records the requests that an agent has received. It refuses
// attempts that were sealed or received before, and reports whether a request was
// run, is running, or will never be run. It does no I/O and reads no clock.
package saddleledger
