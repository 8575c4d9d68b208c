// Package saddlemain is the command line of the daemons.
package saddlemain
