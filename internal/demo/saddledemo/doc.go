// Package saddledemo runs the whole system with stand-ins for the systems
// outside, as goroutines over loopback, and checks the promises at the far
// ends.
package saddledemo
