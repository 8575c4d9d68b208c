// Package saddleagent implements the agent, the process that runs beside a
// target. Every request to the target passes through its agent. The agent
// therefore has an exact count of the requests in progress, can refuse a request
// and prove that it was not run, and can drain the target before it shuts down.
package saddleagent
