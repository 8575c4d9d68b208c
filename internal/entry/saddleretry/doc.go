// Package saddleretry decides when an attempt may be followed by another. It
// is pure.
package saddleretry
