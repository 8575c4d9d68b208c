// Package saddleadmin serves a process's admin listener: whether it lives and
// is ready, its counters and its time line.
package saddleadmin
