// Package saddlehops measures chains of stages: the order of the hops, frames
// of many requests on one stream, and what each way of recovery costs. Links
// are in-memory connections with a delay, but for the streams, which run over
// loopback TCP.
package saddlehops
