package saddleprocess

import (
	"fmt"
	"strings"
	"testing"
)

// JoinControl starts a control replica that waits until it is added to the
// control group of the fleet. It returns the process and its drpc address.
func (f *Fleet) JoinControl(t testing.TB, node string) (*Process, string) {
	t.Helper()
	admin, listen := freeAddress(t), freeAddress(t)
	var replicas strings.Builder
	for _, r := range append(f.replicas, replica{node: node, address: listen}) {
		fmt.Fprintf(&replicas, "[[replicas]]\nnode = %q\naddress = %q\n", r.node, r.address)
	}
	p := Start(t, f.Dir, "control", node, admin, fmt.Sprintf(
		"node = %q\ncentre = \"centre-1\"\nlisten = %q\nadmin = %q\ndata = %q\njoin = true\n%s",
		node, listen, admin, f.DataDir(node), replicas.String()))
	return p, listen
}

// Log returns the output of the process so far, earlier runs included.
func (p *Process) Log() string { return p.logs.String() }

// Wait waits until the process exits and returns nil for exit code 0, otherwise
// an error.
func (p *Process) Wait() error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	err := <-done
	done <- err
	return err
}
