// Command rig2 plays the cases of the second review on the real clock. It starts the programs of
// the deploy file as separate processes on loopback addresses. Requesters, runners, the operator
// and the provider are stand-ins within rig2.
package main
