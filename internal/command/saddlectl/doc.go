// Package saddlectl is the operators' command line.
package saddlectl
