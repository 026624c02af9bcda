package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/io/cassiatls"
)

// keysCommand returns the command that writes the certificates and the cluster key by which VMs authenticate each other.
func keysCommand() *cli.Command {
	return &cli.Command{
		Name:      "keys",
		Usage:     "make the TLS files and the cluster key of VMs",
		ArgsUsage: "VM...",
		Description: "Writes VM.pem and VM-key.pem for each VM named, signed by the directory's authority. The authority\n" +
			"(authority.pem, authority-key.pem) and the cluster key (cluster.key) are made where missing and kept otherwise.\n" +
			"Give each VM its own two files, authority.pem and cluster.key; keep authority-key.pem off the VMs.\n" +
			"Exit status: 0 done, 1 a file could not be read or written.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "directory", Usage: "directory to write to", Value: "keys"},
			&cli.DurationFlag{Name: "lifetime", Usage: "how long the certificates are valid", Value: cassiatls.DefaultLifetime},
		},
		Action: makeKeys,
	}
}

func makeKeys(_ context.Context, command *cli.Command) error {
	if command.Args().Len() == 0 {
		return errors.New("no VM named; list the VMs by the names in their configuration")
	}
	var names []cassiaid.VMName
	for _, name := range command.Args().Slice() {
		names = append(names, cassiaid.VMName(name))
	}
	directory := cassiatls.Directory(command.String("directory"))
	if err := directory.Issue(time.Now(), command.Duration("lifetime"), names...); err != nil {
		return err
	}
	_, err := fmt.Fprintf(command.Root().Writer, "files of %d VMs are in %s\n", len(names), string(directory))
	return err
}
