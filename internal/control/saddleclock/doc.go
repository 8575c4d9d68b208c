// Package saddleclock is the clock by which leases are judged. It is pure.
package saddleclock
