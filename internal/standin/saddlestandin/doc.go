// Package saddlestandin holds small stand-ins for the systems outside: model
// engines, plain services and the weight store. Each records what it ran, so
// that tests and the demo judge from the far end. It is not part of the
// product and simulates no cluster.
package saddlestandin
