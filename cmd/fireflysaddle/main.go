// Command fireflysaddle runs the daemons of fireflysaddle.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/fireflysaddle/fireflysaddle/internal/command/saddlemain"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return saddlemain.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
