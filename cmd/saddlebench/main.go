// Command saddlebench runs the benchmarks of fireflysaddle.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlebench"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return saddlebench.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
