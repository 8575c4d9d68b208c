// Package saddleengine is the adapter to model engines with a JSON interface
// over HTTP. An engine of another kind needs only another implementation of
// fireflysaddle.Engine.
package saddleengine
