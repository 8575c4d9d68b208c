package saddleplacer

import "expvar"

var countOrders = expvar.NewInt("placement_orders_total")
