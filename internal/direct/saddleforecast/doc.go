// Package saddleforecast predicts when a stream that is sent now has its first event: from the
// time that the engines of recent chains need for the prompt while nothing else runs, and from
// what was seen in addition, which is the queue at the engines.
package saddleforecast
