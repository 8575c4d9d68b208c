// Package saddleengine is the adapter to a model engine that speaks JSON over
// HTTP. An engine of another kind needs only another implementation of
// fireflysaddle.Engine.
package saddleengine
