// Package saddlechain builds the chains of targets that together hold every
// layer of a model exactly once, in order. It is pure.
package saddlechain
