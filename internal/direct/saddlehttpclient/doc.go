// Package saddlehttpclient is an HTTP client for targets that sends each request exactly
// once. It reuses connections and returns an answer only to the request to which it
// belongs. The client of net/http cannot be used because it retries some requests by
// itself.
package saddlehttpclient
