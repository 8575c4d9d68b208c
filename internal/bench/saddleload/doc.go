// Package saddleload draws requests and fleets from a seed: arrivals that are
// steady or come in bursts, a few large workspaces beside small ones, prompts
// that share prefixes, and plain calls among the drafts.
package saddleload
