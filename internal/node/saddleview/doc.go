// Package saddleview merges what a node hears from the control replicas into
// one immutable view. It is pure.
package saddleview
