// Package saddlestore keeps a control replica's log, term, vote and snapshot
// under one data folder.
//
// A file is a run of records, each with its length and a checksum. A record
// cut off at the end of the last file is dropped, because it was never synced;
// any other damage is an error that names file and offset.
package saddlestore
