package saddlereplica

import "fmt"

// DiskLostError says that a replica that the group counts on has an empty
// data folder. It may have voted and stored entries before, so it must not go
// on under its id.
type DiskLostError struct {
	ID string
}

// Error says how to bring the replica back.
func (e *DiskLostError) Error() string {
	return fmt.Sprintf("replica %q has an empty data folder, but its group holds data: "+
		"replace it by a replica with a new id (saddlectl control-replace)", e.ID)
}

// MembershipError says why a change of the replicas was refused.
type MembershipError struct {
	ID     string
	Reason string
}

// Error names the replica and the reason.
func (e *MembershipError) Error() string {
	return fmt.Sprintf("replica %q %s", e.ID, e.Reason)
}
