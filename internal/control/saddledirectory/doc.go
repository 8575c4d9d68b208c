// Package saddledirectory replaces a control replica on a VM without a disk. It holds no
// durable state and gives nodes and joining replicas the addresses of the replicas.
package saddledirectory
