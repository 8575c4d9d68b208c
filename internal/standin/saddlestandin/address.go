package saddlestandin

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
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
		port := portAllocator.next
		portAllocator.next++
		err := tryBind(port)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue // another program uses the port
		}
		if err != nil {
			return "", err
		}
		return loopback(port), nil
	}
}

// tryBind binds a socket to a loopback port and closes it. It fails if something
// listens on the port.
func tryBind(port int) error {
	// A process that is being started holds copies of this process's sockets until it
	// executes its program, so a copy could occupy the port after the socket is closed.
	// While ForkLock is held, no process is started.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	// Not net.Listen, which locks ForkLock itself on some systems.
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	defer func() { _ = syscall.Close(socket) }()
	// Like net.Listen, allow ports of closed connections.
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	return os.NewSyscallError("bind", syscall.Bind(socket, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}))
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
