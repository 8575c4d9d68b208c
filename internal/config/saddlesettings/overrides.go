package saddlesettings

import "net"

// Overrides replaces the values that differ between processes of one role in one
// data centre, so that they can share a settings file. Empty fields override
// nothing.
type Overrides struct {
	Node string // name of the process
	IP   string // host part of the addresses of the process's listeners
}

func (o Overrides) applyTo(s *Common) {
	if o.Node != "" {
		s.Node = o.Node
	}
	o.setHosts(&s.Admin)
}

// setHosts replaces the host of each address by the IP. An address that is not
// host:port is left unchanged, because the check of the settings reports it.
func (o Overrides) setHosts(addresses ...*string) {
	for _, a := range addresses {
		_, port, err := net.SplitHostPort(*a)
		if o.IP == "" || err != nil {
			continue
		}
		*a = net.JoinHostPort(o.IP, port)
	}
}
