// Package saddlepath finds a cheap chain of engines that runs every layer of a model
// exactly once and in order. It has no state and performs no I/O.
package saddlepath
