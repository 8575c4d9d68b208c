// Package saddlegrant limits how many engines load at the same time. Few loads that
// share the bandwidth of the weight store finish soon, while many concurrent loads all
// take long. The package is pure.
package saddlegrant
