// Package saddlebaseline holds the plain ways of choosing a target that the
// product's own is compared with. They implement fireflysaddle.Chooser.
package saddlebaseline
