// Package saddlefleet is what an entry knows of the targets without agents: which
// there are, which seem to fail, and what this entry has sent them. It chooses
// targets and chains.
package saddlefleet
