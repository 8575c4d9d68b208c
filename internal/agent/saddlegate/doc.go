// Package saddlegate holds requests back until the admission decider lets them
// start.
package saddlegate
