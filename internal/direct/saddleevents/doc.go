// Package saddleevents splits a stream of server-sent events into whole events.
package saddleevents
