// Package saddleplacer runs on the leading control replica. It plans which layers the
// engines without agents are to hold, and orders the engines to load them.
package saddleplacer
