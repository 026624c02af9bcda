package main

import (
	"context"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/standin/cassiarelay"
)

func relayCommand() *cli.Command {
	return &cli.Command{
		Name:  "relay",
		Usage: "relay TCP and UDP with faults that can be changed at the control address",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "link", Required: true, Usage: "`NETWORK/LISTEN/UPSTREAM` such as udp/127.0.0.1:1/127.0.0.1:2; may be repeated"},
			&cli.StringFlag{Name: "control", Usage: "`ADDRESS` for faults and counters"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of all random draws"},
		},
		Action: runRelay,
	}
}

func runRelay(ctx context.Context, command *cli.Command) error {
	var set cassiarelay.Set
	for _, link := range command.StringSlice("link") {
		fields := strings.Split(link, "/")
		if len(fields) != 3 {
			return eris.Errorf("link %q is not of the form NETWORK/LISTEN/UPSTREAM", link)
		}
		set = append(set, cassiarelay.New(cassiarelay.Options{
			Network: fields[0], Listen: fields[1], Upstream: fields[2], Seed: command.Uint64("seed"),
		}))
	}
	group, ctx := errgroup.WithContext(ctx)
	if err := serveHTTP(ctx, group, command.String("control"), set.ControlHandler()); err != nil {
		return err
	}
	group.Go(func() error { return set.Run(ctx, announceReady) })
	return group.Wait()
}
