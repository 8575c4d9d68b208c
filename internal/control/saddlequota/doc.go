// Package saddlequota shares out the sendings that the entries may repeat. It is
// soft state of the leader, and pure.
package saddlequota
