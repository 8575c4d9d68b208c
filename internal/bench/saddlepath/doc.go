// Package saddlepath runs the daemons and a stand-in engine over loopback, to
// compare drafts through entry and agent with direct calls to the engine.
package saddlepath
