package saddlesettings

import "net"

// Overrides is what differs between processes of one role in one data centre, so
// that they can share a settings file. Empty fields leave the file's values.
type Overrides struct {
	Node string // name of the process
	IP   string // host part of its listeners' addresses
}

func (p Overrides) common(s *Common) {
	if p.Node != "" {
		s.Node = p.Node
	}
	p.addresses(&s.Admin)
}

// addresses puts the IP in front of each port. What is not host:port stays for
// the check to find.
func (p Overrides) addresses(addresses ...*string) {
	for _, a := range addresses {
		_, port, err := net.SplitHostPort(*a)
		if p.IP == "" || err != nil {
			continue
		}
		*a = net.JoinHostPort(p.IP, port)
	}
}
