package saddleadmission

import "github.com/fireflysaddle/fireflysaddle"

// maxClocks bounds the workspaces that are remembered. A workspace that is forgotten begins
// like one that has had nothing recently.
const maxClocks = 1024

// clocks implement start-time fair queueing: each workspace has a virtual time, in tokens, at
// which its next request starts, and the one with the earliest goes first.
type clocks struct {
	now  Tokens // start of the latest request that began
	next map[fireflysaddle.Workspace]Tokens
}

// start returns the time at which the next request of a workspace starts.
func (c *clocks) start(w fireflysaddle.Workspace) Tokens { return max(c.now, c.next[w]) }

// begin advances the time of a workspace by a request that begins.
func (c *clocks) begin(w fireflysaddle.Workspace, tokens Tokens) {
	if len(c.next) >= maxClocks {
		for k, t := range c.next {
			if t <= c.now {
				delete(c.next, k)
			}
		}
	}
	c.now = c.start(w)
	c.next[w] = c.now + tokens
}
