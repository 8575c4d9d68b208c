package fireflysaddle

// Role names a kind of process of the system.
type Role string

// The roles of processes.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "agent"
	RoleControl Role = "control"
)
