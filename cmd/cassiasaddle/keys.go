package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/io/cassiatls"
)

func keysCommand() *cli.Command {
	return &cli.Command{Name: "keys", Flags: []cli.Flag{&cli.StringFlag{Name: "directory"}},
		Action: func(_ context.Context, c *cli.Command) error {
			var names []cassiaid.VMName
			for _, n := range c.Args().Slice() {
				names = append(names, cassiaid.VMName(n))
			}
			return cassiatls.Directory(c.String("directory")).Issue(time.Now(), cassiatls.DefaultLifetime, names...)
		}}
}
