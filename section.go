package fireflysaddle

import "cmp"

// Section identifies the targets of a group that are in one data centre.
type Section struct {
	Group  Group
	Centre DataCentre
}

// sectionHolder is a message that names a group and a data centre.
type sectionHolder interface {
	GetGroup() string
	GetCentre() string
}

// SectionOf returns the section that a message names, such as a registration or a load.
func SectionOf(m sectionHolder) Section {
	return Section{Group: Group(m.GetGroup()), Centre: DataCentre(m.GetCentre())}
}

// Compare orders sections by group, then by data centre.
func (s Section) Compare(other Section) int {
	return cmp.Or(cmp.Compare(s.Group, other.Group), cmp.Compare(s.Centre, other.Centre))
}
