// Package saddlegateway serves requests at targets without agents: it finds the
// route, checks the key, chooses targets and chains, sends what may be sent again
// to another one, and hands on answers as they come. It knows no wire format.
package saddlegateway
