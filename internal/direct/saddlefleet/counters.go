package saddlefleet

import "expvar"

var exclusionsTotal = expvar.NewInt("target_passed_over_total")
