// Command saddlectl inspects and changes the configuration of a fireflysaddle fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/fireflysaddle/fireflysaddle/internal/command/saddlectl"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return saddlectl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
