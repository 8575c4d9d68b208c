package saddleadmin

// HTTP paths of the admin listener.
const (
	PathLive     = "/live"
	PathReady    = "/ready"
	PathCounters = "/debug/vars"
	PathTimeline = "/timeline"
)
