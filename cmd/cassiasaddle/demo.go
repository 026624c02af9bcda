package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"cassiasaddle/io/cassiabench"
)

// demoTimeout bounds the whole run of the demo.
const demoTimeout = 30 * time.Second

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run VMs and stand-ins on loopback, send queries through a straggler and a lost replica, and report",
		Description: "Exit status: 0 no promise broken, 1 a promise was broken or the run failed.",
		Action:      runDemo,
	}
}

func runDemo(ctx context.Context, command *cli.Command) error {
	discardLibraryLogs()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	const seed = 1
	result, err := cassiabench.Run(ctx, cassiabench.Demo(), cassiabench.PolicyTuned, seed)
	if err != nil {
		return err
	}
	if err := cassiabench.WriteDemo(command.Root().Writer, result); err != nil {
		return err
	}
	if result.Violations.Any() {
		return cli.Exit("a promise was broken; see the broken promises in the report", exitViolation)
	}
	return nil
}
