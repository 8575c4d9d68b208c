package saddleprocess

import (
	"fmt"
	"strings"
	"testing"
)

// JoinControl starts a control replica that waits to be added to the fleet's,
// and returns it and the address that it is reached at.
func (f *Fleet) JoinControl(t testing.TB, node string) (*Process, string) {
	t.Helper()
	admin, listen := address(t), address(t)
	var replicas strings.Builder
	for _, r := range append(f.replicas, replica{node: node, address: listen}) {
		fmt.Fprintf(&replicas, "[[replicas]]\nnode = %q\naddress = %q\n", r.node, r.address)
	}
	p := Start(t, f.Dir, "control", node, admin, fmt.Sprintf(
		"node = %q\ncentre = \"centre-1\"\nlisten = %q\nadmin = %q\ndata = %q\njoin = true\n%s",
		node, listen, admin, f.DataDir(node), replicas.String()))
	return p, listen
}

// Log returns what the process wrote so far, over all its starts.
func (p *Process) Log() string { return p.logs.String() }

// Wait waits for the end of the process and returns its error, nil for exit
// code 0.
func (p *Process) Wait() error {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	err := <-done
	done <- err
	return err
}
