// Package saddlegrant decides how many engines load at the same time, so that
// the weight store's rate is shared by few loads that end soon instead of many
// that all take long. It is pure.
package saddlegrant
