// Package saddledisk is a disk in memory that crashes, tears writes, loses what
// was not synced and runs full, for tests of what is kept on disk.
package saddledisk
