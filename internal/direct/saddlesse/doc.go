// Package saddlesse splits a stream of server-sent events into complete events.
package saddlesse
