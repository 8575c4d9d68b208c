package saddlefleet

import "expvar"

var countPassedOver = expvar.NewInt("target_passed_over_total")
