// Package saddlebudget bounds the memory that a process holds for requests in progress and for
// the answers of targets to them.
package saddlebudget
