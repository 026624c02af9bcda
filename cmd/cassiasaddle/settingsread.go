package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiasettings"
)

func getSettings(ctx context.Context, c *cli.Command) error {
	subtree, err := requiredSubtree(c)
	if err != nil {
		return withExitCode(err)
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	edit, err := operatorClient(c).Get(ctx, subtree, cassiasettings.EditID(c.String("edit")), cassiaid.Revision(c.Uint64("revision")))
	if err != nil {
		return withExitCode(err)
	}
	if !edit.StoreRead {
		_, _ = fmt.Fprintln(c.Root().ErrWriter, "the store cannot be read; this is what the VM has in force")
	}
	if c.String("edit") != "" {
		_, _ = fmt.Fprintf(c.Root().ErrWriter, "edit %s of %s: accepted %t, in force %t, revision %d\n",
			edit.EditID, edit.Author, edit.Accepted, edit.InForce, edit.Revision)
	}
	_, err = fmt.Fprint(c.Root().Writer, appendBaseRevision(edit.YAML, edit.Revision))
	return err
}

func listHistory(ctx context.Context, c *cli.Command) error {
	subtree, err := requiredSubtree(c)
	if err != nil {
		return withExitCode(err)
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	history, err := operatorClient(c).History(ctx, subtree, c.Int("limit"))
	if err != nil {
		return withExitCode(err)
	}
	for _, e := range history.Edits {
		_, err = fmt.Fprintf(c.Root().Writer, "%6d  %s  %s  %8d B  %s\n", e.Revision, e.Time.Format(time.RFC3339), e.EditID,
			e.Bytes, e.Author)
	}
	return err
}
