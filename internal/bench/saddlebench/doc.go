// Package saddlebench is the command line of the measurements.
package saddlebench
