// Package saddleload generates workloads and fleets from a seed: steady or bursty
// arrivals, a few large workspaces beside small ones, prompts with shared
// prefixes, and service calls among the drafts.
package saddleload
