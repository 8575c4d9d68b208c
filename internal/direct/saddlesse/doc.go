// Package saddlesse splits a stream of server-sent events into whole events.
package saddlesse
