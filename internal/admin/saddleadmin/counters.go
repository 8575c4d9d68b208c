package saddleadmin

import "expvar"

// countDenied counts the requests to the admin listener without a valid key;
// docs/OPERATIONS.md lists the metric with its unit.
var countDenied = expvar.NewInt("admin_denied_total")
