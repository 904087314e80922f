package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"laburnumlock.dev/lab/bench/process/labcommand"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	c := &labcommand.Command{Out: os.Stdout, Err: os.Stderr}
	if err := c.Run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "laburnumbench: %v\n", err)
		stop()
		os.Exit(1)
	}
}
