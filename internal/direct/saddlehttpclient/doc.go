// Package saddlehttpclient is an HTTP client of targets that sends each request exactly
// once. It keeps connections, and hands an answer only to the request that it
// belongs to. The standard client repeats some requests by itself, so it cannot
// be used.
package saddlehttpclient
