// Package saddlerelay is a TCP relay for tests. It forwards connections between
// two processes and injects disconnections, latency and loss of data.
package saddlerelay
