package main

import (
	"time"

	"github.com/urfave/cli/v3"

	"cassiasaddle/io/cassiatree"
)

const operatorTimeout = 15 * time.Second

// operatorFlags returns the flags for calls to a VM's operator address. The first is --address, which calls without
// authorization use alone.
func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "address", Usage: "operator address of any VM", Required: true,
			Sources: cli.EnvVars("CASSIASADDLE_ADDRESS")},
		&cli.StringFlag{Name: "token", Usage: "token of the subtree's owner", Sources: cli.EnvVars("CASSIASADDLE_TOKEN")},
	}
}

func operatorClient(c *cli.Command) *cassiatree.OperatorClient {
	return &cassiatree.OperatorClient{Address: c.String("address"), Token: c.String("token")}
}
