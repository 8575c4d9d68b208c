// Package saddlestandin holds small test doubles of external systems: model
// engines, plain services and the weight store. Each records what it ran, so
// that tests and the demo can check what was executed and not only what was
// answered. The package also holds an in-memory network and an allocator of
// loopback ports. It is not part of the product and simulates no cluster.
package saddlestandin
