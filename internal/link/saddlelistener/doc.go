// Package saddlelistener accepts the connections of HTTP callers, and closes them between
// requests when their process stops.
//
// The shutdown of net/http also closes connections on which a request has arrived in part or
// in full, without an answer. Servers need a ReadHeaderTimeout, which ends connections on which
// only a TLS handshake has arrived.
package saddlelistener
