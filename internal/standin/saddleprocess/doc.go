// Package saddleprocess runs the daemons as separate processes for tests that
// kill, freeze and restart them.
package saddleprocess
