// Package saddleroute selects the targets of a request. It filters the targets
// of a view, adds the state that this entry tracks for each of them, and leaves
// the choice to a fireflysaddle.Chooser.
package saddleroute
