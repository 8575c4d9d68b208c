package saddlestandin

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

const (
	// The ports lie below the ephemeral range of the system, so that no outgoing
	// connection can take one between its allocation and its use.
	firstPort     = 12000
	portsPerBlock = 60 // the first port of a block is its lock
	blockCount    = 300
)

// portAllocator allocates ports from blocks that this process has locked, so that
// tests that run in several processes at the same time never get the same port.
var portAllocator struct {
	mu    sync.Mutex
	locks []net.Listener // held until the process ends
	next  int            // next port of the latest block
	end   int            // first port after the latest block
}

// FreeAddress returns a loopback IP:port on which nothing listens. As long as this
// process runs, no other call returns the same address, in any process.
func FreeAddress() (string, error) {
	portAllocator.mu.Lock()
	defer portAllocator.mu.Unlock()
	for {
		if portAllocator.next == portAllocator.end {
			if err := lockPortBlock(); err != nil {
				return "", err
			}
		}
		address := loopback(portAllocator.next)
		portAllocator.next++
		lis, err := net.Listen("tcp", address)
		if err != nil {
			continue // another program uses the port
		}
		return address, lis.Close()
	}
}

// lockPortBlock locks a block by listening on its first port.
func lockPortBlock() error {
	startBlock := os.Getpid() + len(portAllocator.locks)
	for i := range blockCount {
		port := firstPort + (startBlock+i)%blockCount*portsPerBlock
		lis, err := net.Listen("tcp", loopback(port))
		if err != nil {
			continue
		}
		portAllocator.locks = append(portAllocator.locks, lis)
		portAllocator.next = port + 1
		portAllocator.end = port + portsPerBlock
		return nil
	}
	return errors.New("no free block of loopback ports was found")
}

func loopback(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}
