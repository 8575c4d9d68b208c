package saddlefleet

import "expvar"

var countExclusions = expvar.NewInt("target_passed_over_total")
