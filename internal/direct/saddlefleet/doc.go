// Package saddlefleet tracks the targets without agents from the point of view of
// one entry: their registrations, their health and the load that this entry has
// placed on them. It selects targets and chains for requests.
package saddlefleet
