// Package saddleroute picks the targets of a request: it filters what the view
// offers, adds what this entry knows of each target, and asks a chooser.
package saddleroute
