package saddleadmin

import "expvar"

// Counters of the admin listener; docs/OPERATIONS.md lists them with units.
var deniedTotal = expvar.NewInt("admin_denied_total")
