// Package saddleblame records which traits an entry blames for the end of targets, and
// which requests it refuses because of them.
package saddleblame
