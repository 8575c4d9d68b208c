package saddlestandin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// Ports are taken below the range that the system gives to outgoing
	// connections, so that none of these takes one between choice and use.
	firstPort    = 12000
	portCount    = 18000
	addressTries = 1000
)

// FreeAddress returns a loopback IP:port on which nothing listens.
func FreeAddress() (string, error) {
	for range addressTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		lis, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, lis.Close()
	}
	return "", errors.New("no free loopback port was found")
}
