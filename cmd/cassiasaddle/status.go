package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"cassiasaddle/io/cassiabody"
	"cassiasaddle/io/cassiaserver"
)

// maxStatusBytes limits the size of a status, which grows with the number of members and of slices.
const maxStatusBytes = 64 << 20

// statusCommand returns the command that shows members, owners and settings as one VM sees them.
func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show members, owners and the settings generation in force on each VM",
		Description: "Asks one VM what it sees. A member's generation is the one it last named by gossip.\n\n" +
			"Exit codes: 0 the VM is ready, 1 it is not ready or does not answer.",
		Flags: append([]cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print the VM's answer as it is"}}, operatorFlags()[:1]...),
		Action: func(ctx context.Context, c *cli.Command) error {
			return showStatus(ctx, c)
		},
	}
}

func showStatus(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	content, err := readStatus(ctx, c.String("address"))
	if err != nil {
		return cli.Exit(err.Error(), exitFailed)
	}
	var status cassiaserver.Status
	if err := json.Unmarshal(content, &status); err != nil {
		return cli.Exit("the answer is not the status of a VM; check that --address is a VM's operator address", exitFailed)
	}
	if c.Bool("json") {
		_, err = c.Root().Writer.Write(content)
	} else {
		err = printStatus(c.Root().Writer, status)
	}
	if err == nil && !status.Ready {
		return cli.Exit("the VM is not ready", exitFailed)
	}
	return err
}

func readStatus(ctx context.Context, address string) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/status", nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request; check --address")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, eris.Wrapf(err, "call VM at %s; check --address or try another VM", address)
	}
	defer func() { _ = response.Body.Close() }()
	return cassiabody.ReadAll(response.Body, maxStatusBytes)
}

func printStatus(out io.Writer, s cassiaserver.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "VM %s in %s: ready %t, settings generation %d\n\n", s.VM, s.Zone, s.Ready, s.SettingsGeneration)
	_, _ = fmt.Fprintln(w, "MEMBER\tZONE\tSTATE\tSETTINGS")
	for _, m := range s.Members {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", m.Name, m.AvailabilityZone, m.State, m.SettingsGeneration)
	}
	_, _ = fmt.Fprintln(w, "\nFRONT\tSLICE\tZONE\tOWNERS")
	for _, o := range s.Owners {
		names := make([]string, 0, len(o.Owners))
		for _, name := range o.Owners {
			names = append(names, string(name))
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", o.Front, o.Slice, o.Zone, strings.Join(names, " "))
	}
	return w.Flush()
}
