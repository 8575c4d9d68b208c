// Package saddleservice is the adapter to a plain HTTP service.
package saddleservice
