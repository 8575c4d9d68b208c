// Package saddleclock provides the clock that leases are measured with. It reads no
// system clock itself; the caller passes the readings in.
package saddleclock
