// Package saddleplan decides which layers of a model each engine is to hold. It is
// pure.
package saddleplan
