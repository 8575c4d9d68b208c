package fireflysaddle

import "cmp"

// Section identifies the targets of a group that are in one data centre.
type Section struct {
	Group  Group
	Centre DataCentre
}

// Compare orders sections by group, then by data centre.
func (s Section) Compare(other Section) int {
	return cmp.Or(cmp.Compare(s.Group, other.Group), cmp.Compare(s.Centre, other.Centre))
}
