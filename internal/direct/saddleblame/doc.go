// Package saddleblame records which prompt parts an entry blames for the end of engines, and
// which requests it refuses because of them.
package saddleblame
