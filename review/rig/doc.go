// Command rig runs the cases of the review: a small deployment of the programs of
// this repository as separate processes on loopback addresses, with stand-ins for the
// platform, callers and targets.
package main
