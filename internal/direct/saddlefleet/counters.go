package saddlefleet

import "expvar"

var countSuspected = expvar.NewInt("target_passed_over_total")
