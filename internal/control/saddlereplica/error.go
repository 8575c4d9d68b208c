package saddlereplica

import "fmt"

// DiskLostError reports that a member of the group has an empty data folder. The
// replica may have voted and acknowledged entries before, so it must not continue
// under its id.
type DiskLostError struct {
	ID string
}

// Error names the replica and the command that replaces it.
func (e *DiskLostError) Error() string {
	return fmt.Sprintf("replica %q has an empty data folder, but its group holds data: "+
		"replace it by a replica with a new id (saddlectl control-replace)", e.ID)
}

// MembershipError reports why a membership change was refused.
type MembershipError struct {
	ID     string
	Reason string
}

// Error names the replica and the reason.
func (e *MembershipError) Error() string {
	return fmt.Sprintf("replica %q %s", e.ID, e.Reason)
}
