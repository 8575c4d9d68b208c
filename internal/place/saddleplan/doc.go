// Package saddleplan computes which layers of a model each engine is to hold. Its
// functions have no side effects.
package saddleplan
