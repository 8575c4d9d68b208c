// Package saddleservice is the adapter to plain HTTP services.
package saddleservice
