package main

import (
	"context"
	"fmt"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"cassiasaddle/io/cassiaexplain"
)

// explainCommand returns the command that collects what logs tell of one request.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "collect what the logs of cassiafront VMs tell of one request",
		ArgsUsage: "ID FILES...",
		Description: "Reads logs of any number of VMs and prints, in order of time, what was decided on the request with the ID, the losses of\n" +
			"targets that count against it, and what the VMs that decided learned before and meanwhile. It names what the logs lack.\n\n" +
			"Exit codes: 0 the request was found, 1 it was not, or a file can't be read.",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return cli.Exit("give the id of a request and the files of logs", exitFailed)
			}
			return explain(c, c.Args().First(), c.Args().Tail())
		},
	}
}

func explain(c *cli.Command, request string, files []string) error {
	var lines []cassiaexplain.Line
	malformed := 0
	for _, file := range files {
		log, err := os.Open(file)
		if err != nil {
			return cli.Exit(err.Error(), exitFailed)
		}
		read, bad, err := cassiaexplain.Read(log)
		log.Close() //nolint:errcheck // it was only read
		if err != nil {
			return cli.Exit(eris.Wrap(err, file).Error(), exitFailed)
		}
		lines, malformed = append(lines, read...), malformed+bad
	}
	explanation, err := cassiaexplain.Explain(lines, request)
	if err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	if malformed > 0 {
		explanation.Missing = append(explanation.Missing, fmt.Sprintf("%d lines of the files could not be read", malformed))
	}
	return explanation.Write(c.Root().Writer)
}
