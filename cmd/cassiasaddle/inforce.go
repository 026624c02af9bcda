package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/io/cassiatree"
)

const inForcePollInterval = 200 * time.Millisecond

// reportInForce prints an accepted edit and waits until it is in force on all VMs. If it isn't within --wait, the error lists
// the VMs that still have an older generation.
func reportInForce(ctx context.Context, c *cli.Command, client *cassiatree.OperatorClient, a cassiatree.ApplyReply) error {
	w := c.Root().Writer
	_, _ = fmt.Fprintf(w, "accepted: subtree %s revision %d, edit %s, generation %d\n",
		a.Subtree, a.Revision, a.EditID, a.Generation)
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.Duration("wait"))
	defer cancel()
	behind := []cassiatree.MemberGeneration{{Name: "(no answer from the VM at --address)"}}
	for {
		reply, err := client.Generations(ctx, a.Generation)
		if err == nil {
			behind = membersBehind(reply, a.Generation)
		}
		if err == nil && len(behind) == 0 {
			_, err = fmt.Fprintf(w, "in force on all %d VMs after %s\n", len(reply.Members), time.Since(begin).Round(time.Millisecond))
			return err
		}
		select {
		case <-ctx.Done():
			message := fmt.Sprintf("accepted, but not seen in force within %s on:", c.Duration("wait"))
			for _, m := range behind {
				message += fmt.Sprintf("\n  %s %s (generation %d)", m.Name, m.AvailabilityZone, m.Generation)
			}
			return cli.Exit(message+"\nthe edit will be in force on these VMs once they are reachable; see cassiasaddle status", exitNotInForce)
		case <-time.After(inForcePollInterval):
		}
	}
}

// membersBehind returns the members that have an older generation than g in force.
func membersBehind(reply cassiatree.GenerationsReply, g cassiaid.Generation) []cassiatree.MemberGeneration {
	var behind []cassiatree.MemberGeneration
	for _, m := range reply.Members {
		if m.Generation < g {
			behind = append(behind, m)
		}
	}
	return behind
}
