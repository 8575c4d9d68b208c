package fireflysaddle

// TargetKind tells model engines from plain services.
type TargetKind string

// The kinds of target.
const (
	KindEngine  TargetKind = "engine"
	KindService TargetKind = "service"
)
