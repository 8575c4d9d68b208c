// Package saddlestore keeps a control replica's log, term, vote and snapshot
// under one data folder.
//
// The log is a row of segments, log-1, log-2 and so on, each a run of records
// with length and checksum. A segment that begins with a checkpoint needs none
// before it. Every record says how far its segment was synced when it was
// written. This tells the two kinds of unreadable bytes apart: at the end of
// the last segment, never synced, they are cut off; anywhere else they are
// damage, an error that names file and offset.
package saddlestore
