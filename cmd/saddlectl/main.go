// Command saddlectl is the operators' client of fireflysaddle.
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
