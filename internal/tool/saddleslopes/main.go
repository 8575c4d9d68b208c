// Command saddleslopes measures the slopes that docs/CAPACITY.md is worked out
// from.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddleslope"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := saddleslope.Run(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "saddleslopes:", err)
		return 1
	}
	return 0
}
