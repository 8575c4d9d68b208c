// Package saddlegate blocks requests until a fireflysaddle.Admitter admits them to
// a target.
package saddlegate
