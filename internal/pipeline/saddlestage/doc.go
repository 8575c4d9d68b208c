// Package saddlestage runs an agent's stages of pipeline chains.
//
// The head of a chain drives the decoding: it runs its own layers, sends the
// activation to the agent of the next stage, and receives the token from the
// last stage. Each agent accepts every position of an attempt exactly once and
// in order. Frames of many requests share one stream between two agents,
// because a drpc connection carries one stream at a time.
package saddlestage
