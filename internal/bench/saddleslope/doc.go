// Package saddleslope measures what one more heartbeat, member, change, claim or
// stream costs: each quantity at several sizes, with a least-squares line through
// them. docs/CAPACITY.md is worked out from these slopes.
//
// Processor time is that of the whole process. Where a measurement has two ends
// of a connection, both are in it, so that the cost of either end is below the
// figure.
package saddleslope
