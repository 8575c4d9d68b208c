// Package saddlesim is a discrete-event simulation of a fleet in virtual time.
// Routers, retry budgets and queues are the production code; engines, links and
// control are models. The models cover slots, token rates, link latencies, a
// prefix cache and the loss of targets, and nothing else.
package saddlesim
