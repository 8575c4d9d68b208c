// Package saddleslope measures the marginal cost of a stream, configuration
// change, member, deployment, claim, token, draft, request or timeline event: it
// measures each quantity at several sizes and fits a least-squares line.
// docs/CAPACITY.md is calculated from these slopes.
//
// Processor time is that of the whole process. A measurement over a connection
// includes both ends, so the cost of either end is lower than the figure.
package saddleslope
