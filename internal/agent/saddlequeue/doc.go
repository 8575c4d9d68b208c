// Package saddlequeue decides which request a target runs next. It is a pure
// decider.
package saddlequeue
