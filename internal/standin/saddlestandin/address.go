package saddlestandin

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

const (
	// Ports are taken below the range that the system gives to outgoing
	// connections, so that none of these takes one between choice and use.
	firstPort  = 12000
	blockPorts = 60 // ports of one block, the first of which is its lock
	blockCount = 300
)

// ports hands out the ports of blocks that this process holds, so that tests
// that run at the same time in several processes never get the same one.
var ports struct {
	mu    sync.Mutex
	locks []net.Listener // held until the process ends
	next  int            // next port of the latest block
	end   int            // first port after it
}

// FreeAddress returns a loopback IP:port on which nothing listens, and which
// it returns to nobody else.
func FreeAddress() (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	for {
		if ports.next == ports.end {
			if err := takeBlock(); err != nil {
				return "", err
			}
		}
		address := loopback(ports.next)
		ports.next++
		lis, err := net.Listen("tcp", address)
		if err != nil {
			continue // taken by something else
		}
		return address, lis.Close()
	}
}

// takeBlock locks a block by listening on its first port.
func takeBlock() error {
	begin := os.Getpid() + len(ports.locks)
	for i := range blockCount {
		port := firstPort + (begin+i)%blockCount*blockPorts
		lis, err := net.Listen("tcp", loopback(port))
		if err != nil {
			continue
		}
		ports.locks = append(ports.locks, lis)
		ports.next = port + 1
		ports.end = port + blockPorts
		return nil
	}
	return errors.New("no free block of loopback ports was found")
}

func loopback(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}
