package saddleadmin

import "expvar"

// deniedTotal counts the requests to the admin listener without a valid key;
// docs/OPERATIONS.md lists the metric with its unit.
var deniedTotal = expvar.NewInt("admin_denied_total")
