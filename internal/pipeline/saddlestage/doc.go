// Package saddlestage runs an agent's part of chains of stages.
//
// The head of a chain drives the tokens: it runs its own layers, hands the
// activation to the next stage's agent, and gets the token from the last one.
// Each agent accepts position p of an attempt only after all before it, and
// once. Frames of many requests share one stream between two agents, because a
// drpc connection carries one stream at a time.
package saddlestage
