// Package saddlectl implements the saddlectl command, with which operators inspect and change a
// fleet's configuration.
package saddlectl
