package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/user"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiasettings"
	"cassiasaddle/io/cassiatree"
)

// newEditRequest reads the settings file and returns the edit that it and the flags describe. It checks what can be checked
// without a VM.
func newEditRequest(c *cli.Command) (settingsFile, cassiatree.EditRequest, error) {
	var request cassiatree.EditRequest
	if c.Args().Len() != 1 {
		return settingsFile{}, request, errors.New("expected one argument, the settings file")
	}
	f, err := readSettingsFile(c.Args().First())
	if err != nil {
		return f, request, err
	}
	if err := cassiasettings.CheckTexts([]cassiasettings.Text{f.text}); err != nil {
		return f, request, err
	}
	named, err := subtreeFromFlags(c)
	if err != nil {
		return f, request, err
	}
	if named != "" && named != f.subtree {
		return f, request, fmt.Errorf("%s holds subtree %q and not %q; name the right file", f.text.File, f.subtree, named)
	}
	if c.IsSet("base-revision") {
		f.baseRevision = cassiaid.Revision(c.Uint64("base-revision"))
	}
	id, err := editIDFromFlags(c)
	request = cassiatree.EditRequest{YAML: string(f.text.YAML), BaseRevision: f.baseRevision, EditID: id, Author: editAuthor(c)}
	return f, request, err
}

// editIDFromFlags returns the edit id given by --edit, or a new one.
func editIDFromFlags(c *cli.Command) (cassiasettings.EditID, error) {
	if id := c.String("edit"); id != "" {
		parsed, err := uuid.Parse(id)
		if err != nil {
			return "", errors.New("--edit is not a UUID; copy it from the earlier answer, or leave it out")
		}
		return cassiasettings.EditID(parsed.String()), nil
	}
	id, err := uuid.NewV7()
	return cassiasettings.EditID(id.String()), err
}

// editAuthor returns --author, or else the login name.
func editAuthor(c *cli.Command) string {
	if author := c.String("author"); author != "" {
		return author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func planSettings(ctx context.Context, c *cli.Command) error {
	f, request, err := newEditRequest(c)
	if err != nil {
		return withExitCode(err)
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	plan, err := operatorClient(c).Plan(ctx, f.subtree, request)
	if err != nil {
		return withExitCode(err)
	}
	if plan.Diff == "" {
		plan.Diff = "no change\n"
	}
	_, err = fmt.Fprint(c.Root().Writer, plan.Diff)
	return err
}

func applySettings(ctx context.Context, c *cli.Command) error {
	f, request, err := newEditRequest(c)
	if err != nil {
		return withExitCode(err)
	}
	client := operatorClient(c)
	accepted, err := sendEdit(ctx, request.EditID, func(ctx context.Context) (cassiatree.ApplyReply, error) {
		return client.Apply(ctx, f.subtree, request)
	})
	if err != nil {
		return withExitCode(err)
	}
	if f.hasBaseRevision {
		content := appendBaseRevision(string(f.text.YAML), accepted.Revision)
		if err := os.WriteFile(f.text.File, []byte(content), 0o644); err != nil {
			_, _ = fmt.Fprintf(c.Root().ErrWriter, "%s: the base revision was not updated: %v\n", f.text.File, err)
		}
	}
	return reportInForce(ctx, c, client, accepted)
}

func rollBackSettings(ctx context.Context, c *cli.Command) error {
	subtree, err := requiredSubtree(c)
	if err != nil {
		return withExitCode(err)
	}
	id, err := editIDFromFlags(c)
	if err != nil {
		return withExitCode(err)
	}
	request := cassiatree.RollbackRequest{ToRevision: cassiaid.Revision(c.Uint64("to")), EditID: id, Author: editAuthor(c)}
	client := operatorClient(c)
	accepted, err := sendEdit(ctx, id, func(ctx context.Context) (cassiatree.ApplyReply, error) {
		return client.Rollback(ctx, subtree, request)
	})
	if err != nil {
		return withExitCode(err)
	}
	return reportInForce(ctx, c, client, accepted)
}

func restoreSettings(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	reply, err := operatorClient(c).Restore(ctx)
	if err != nil {
		return withExitCode(err)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "the store holds generation %d again\n", reply.Generation)
	return err
}
