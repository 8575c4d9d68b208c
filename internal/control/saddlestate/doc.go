// Package saddlestate is the replicated state: templates, deployments, drains,
// claims, and the results of past commands. Applying a command is pure and
// gives the same result on every replica.
package saddlestate
