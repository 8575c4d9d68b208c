package saddlestandin_test

import (
	"context"
	"net"
	"os/exec"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
)

// So many addresses are allocated that a fault that befalls one in thirty is noticed.
const (
	addressRounds     = 40
	addressesPerRound = 15
)

// Tests start processes and allocate addresses at the same time. A process that is about
// to start must not occupy an address that has been returned.
func TestFreeAddressIsFreeWhileProcessesStart(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var starters sync.WaitGroup
	defer starters.Wait()
	defer cancel()
	exited := make(chan error)
	for range 2 {
		starters.Go(func() {
			for ctx.Err() == nil {
				err := exec.CommandContext(ctx, "true").Run()
				select {
				case exited <- err:
				case <-ctx.Done():
				default:
				}
			}
		})
	}
	for range addressRounds {
		is.NoErr(<-exited) // the next process is about to start
		for range addressesPerRound {
			address, err := saddlestandin.FreeAddress()
			is.NoErr(err)
			lis, err := net.Listen("tcp", address)
			is.NoErr(err) // the address is free
			is.NoErr(lis.Close())
		}
	}
}
