// Package saddlefigure writes the figures of a run as a table or as JSON lines.
package saddlefigure
