// Package saddledirectory implements a directory of the control replicas, for a VM
// without a disk, which cannot run a replica. The directory stores nothing; it sends
// nodes and joining replicas the addresses of the replicas.
package saddledirectory
