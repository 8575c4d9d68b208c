// Package saddlerouting defines the routing configuration: which requests go to which
// groups of targets without agents, and which keys are valid. A configuration must not
// be changed after Check.
package saddlerouting
