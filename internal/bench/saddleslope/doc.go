// Package saddleslope measures the marginal cost of a stream, configuration
// change, member, deployment, claim, token, draft, request or timeline event. It
// measures each quantity at several sizes and fits a least-squares line. The slope
// of the line is the marginal cost. docs/CAPACITY.md is calculated from the slopes.
//
// Processor time is that of the whole process. A measurement over a connection
// includes both ends, so the cost of either end is lower than the measured cost.
package saddleslope
