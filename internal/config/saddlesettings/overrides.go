package saddlesettings

import "net"

// Overrides replaces the values that differ between processes of one role in one
// data centre, so that they can share a settings file. Empty fields override
// nothing.
type Overrides struct {
	Node string // name of the process
	IP   string // host part of its listeners' addresses
}

func (o Overrides) applyTo(s *Common) {
	if o.Node != "" {
		s.Node = o.Node
	}
	o.addresses(&s.Admin)
}

// addresses sets the host of each address to the IP. An address that is not
// host:port is left unchanged and reported by the later check.
func (o Overrides) addresses(addresses ...*string) {
	for _, a := range addresses {
		_, port, err := net.SplitHostPort(*a)
		if o.IP == "" || err != nil {
			continue
		}
		*a = net.JoinHostPort(o.IP, port)
	}
}
