// Package saddlerouting holds a routing configuration: which requests go to which
// groups of targets without agents, and whose keys are good. It is immutable once
// checked.
package saddlerouting
