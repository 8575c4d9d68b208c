package fireflysaddle

// TargetKind distinguishes model engines from plain services.
type TargetKind string

// The kinds of target.
const (
	KindEngine  TargetKind = "engine"
	KindService TargetKind = "service"
)
