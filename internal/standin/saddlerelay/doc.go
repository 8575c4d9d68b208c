// Package saddlerelay is a TCP relay for tests: it stands between two processes
// and cuts, delays or silences what passes.
package saddlerelay
