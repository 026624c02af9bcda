package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/standin/cassiaplatform"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the key-value service, the VM list and the list of leaving targets",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Required: true, Usage: "`ADDRESS` to serve on"},
			&cli.StringFlag{Name: "vms", Usage: "JSON `FILE` with the first VM list: {\"vms\":[{\"name\":...}]}"},
			&cli.StringFlag{Name: "token", Usage: "bearer `TOKEN` that VMs must send"},
			&cli.FloatFlag{Name: "writes-per-second", Usage: "`RATE` beyond which writes are slowed down; 0 for none"},
			&cli.FloatFlag{Name: "reads-per-second", Usage: "`RATE` beyond which reads are slowed down; 0 for none"},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, command *cli.Command) error {
	platform := cassiaplatform.New(cassiaplatform.Options{
		Token:           command.String("token"),
		WritesPerSecond: command.Float("writes-per-second"),
		ReadsPerSecond:  command.Float("reads-per-second"),
	})
	if file := command.String("vms"); file != "" {
		if err := loadVMs(platform, file); err != nil {
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	if err := serveHTTP(ctx, group, command.String("listen"), platform); err != nil {
		return err
	}
	announceReady()
	return group.Wait()
}

// loadVMs fills the platform's VM list from a JSON file.
func loadVMs(platform *cassiaplatform.Platform, file string) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "cannot read the VM list")
	}
	var list struct {
		VMs []cassiaplatform.VM `json:"vms"`
	}
	if err := json.Unmarshal(content, &list); err != nil {
		return eris.Wrapf(err, "%s must hold {\"vms\":[...]}", file)
	}
	for _, vm := range list.VMs {
		platform.PutVM(vm)
	}
	return nil
}
