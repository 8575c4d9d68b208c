// Package saddleagent runs the process beside a target. It is the authority on
// its target: it sees every request to it, counts exactly what runs, can refuse
// a request and prove that it was not run, and lets the target leave.
package saddleagent
