// Command cassiastandin runs the stand-ins of the platform, of targets and of faulty links as processes.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/standin/cassialaunch"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	command := &cli.Command{
		Name:     "cassiastandin",
		Usage:    "stand-ins for tests: the platform, targets and faulty links",
		Commands: []*cli.Command{platformCommand(), targetsCommand(), targetCommand(), relayCommand()},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// announceReady tells on standard output that everything listens.
func announceReady() { fmt.Println("ready") }

// serveHTTP serves a handler until the context ends; an empty address serves nothing.
func serveHTTP(ctx context.Context, group *errgroup.Group, address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	return cassialaunch.HTTP(ctx, group, address, handler)
}
