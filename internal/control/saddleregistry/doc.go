// Package saddleregistry holds the registrations of targets without an agent. It is
// soft state: each control replica holds the targets that report to it. The table
// reads no clock; only Save and Load access the file system.
package saddleregistry
