// Package saddleregistry holds the registrations of targets without an agent. It is
// soft state: each control replica holds the targets that have reported to it, as long as
// they report the same to this or another replica. The table reads no clock; only Save and
// Load access the file system.
package saddleregistry
