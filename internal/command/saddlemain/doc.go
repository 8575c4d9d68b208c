// Package saddlemain implements the fireflysaddle command, which runs the daemons.
package saddlemain
