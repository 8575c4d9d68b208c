// Package saddlepath runs the daemons and a stand-in engine over loopback, to
// compare drafts through entry and agent with calls of the engine itself.
package saddlepath
