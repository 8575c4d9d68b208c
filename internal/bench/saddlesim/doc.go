// Package saddlesim runs the real deciders of entries and agents in virtual
// time against small models of engines. It models slots, rates, links, a prefix
// cache and the loss of targets, and nothing else.
package saddlesim
