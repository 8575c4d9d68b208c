// Package saddleregistry holds the registrations of targets without an agent. It is
// soft state: each control replica holds the targets that report to it. The table is
// pure; only Save and Load touch the file system.
package saddleregistry
