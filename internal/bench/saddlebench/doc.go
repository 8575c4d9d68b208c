// Package saddlebench implements the saddlebench command line, which runs the
// benchmarks and simulations.
package saddlebench
