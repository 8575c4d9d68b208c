// Package saddlestore stores the log, term, vote and snapshot of a control
// replica in one data folder.
//
// The log is a write-ahead log in segments log-1, log-2 and so on. A segment is
// a sequence of records with length and checksum. A segment that begins with a
// checkpoint does not depend on earlier segments. The header of each record
// holds the number of bytes of the segment that were synced when the record was
// written. This distinguishes a torn write from corruption: invalid bytes at the
// end of the last segment are truncated unless the header of a later record shows
// that they were synced. All other invalid data is reported as a *CorruptionError
// with file and offset.
package saddlestore
