// Package saddledisk is an in-memory file system with fault injection for tests
// of stored data: crashes, torn writes, loss of unsynced data and a full disk.
package saddledisk
