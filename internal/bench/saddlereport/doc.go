// Package saddlereport holds the results of benchmark runs: histograms of
// durations, and tables that are printed as text or as JSON lines.
package saddlereport
