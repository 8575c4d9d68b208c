// Package saddleregistry holds what targets without an agent say of themselves.
// It is soft state, kept by each control replica for the targets that report to
// it, and pure.
package saddleregistry
