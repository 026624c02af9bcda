// Command cassiastandin runs a simulated platform, simulated targets and faulty links for tests, each as a process.
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

// announceReady prints the line that tests and scripts wait for. It is called once all listeners are open.
func announceReady() { fmt.Println("ready") }

// serveHTTP serves a handler in the group until ctx is done. It does nothing when the address is empty.
func serveHTTP(ctx context.Context, group *errgroup.Group, address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	return cassialaunch.StartHTTPServer(ctx, group, address, handler)
}
