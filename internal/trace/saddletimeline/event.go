package saddletimeline

// Event is one entry of the timeline. Fields that do not apply are empty. Events
// never contain prompt text, keys or bodies.
type Event struct {
	WallNs   int64  `json:"wall_ns"` // wall part of the hybrid logical timestamp, Unix nanoseconds
	Count    uint32 `json:"count"`   // logical part, which orders events of the same nanosecond
	Node     string `json:"node"`
	Name     string `json:"name"`
	Request  string `json:"request,omitempty"`
	Attempt  uint32 `json:"attempt,omitempty"`
	Target   string `json:"target,omitempty"`
	Subject  string `json:"subject,omitempty"` // workspace, template or replica
	Revision uint64 `json:"revision,omitempty"`
	Term     uint64 `json:"term,omitempty"`
	Detail   string `json:"detail,omitempty"`
}

// Less reports whether e precedes other: events are ordered by hybrid logical timestamp,
// and events with the same timestamp by node.
func (e Event) Less(other Event) bool {
	if e.WallNs != other.WallNs {
		return e.WallNs < other.WallNs
	}
	if e.Count != other.Count {
		return e.Count < other.Count
	}
	return e.Node < other.Node
}
