// Package saddleledger is an agent's record of the requests it saw. It is a
// pure decider: it refuses what was sealed or seen before, and says of a
// request whether it was run, is running, or never will be.
package saddleledger
