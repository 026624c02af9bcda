package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/user"
	"regexp"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiasettings"
	"cassiasaddle/io/cassiatree"
)

// Exit codes of the settings commands, besides exitOK and exitFailed.
const (
	exitInvalid        = 2
	exitConflict       = 3
	exitOutcomeUnknown = 4
	exitNotInForce     = 5
)

const (
	operatorTimeout = 15 * time.Second
	inForcePoll     = 200 * time.Millisecond
	resendPause     = 300 * time.Millisecond
)

const settingsHelp = `Settings are YAML files kept in version control: one for the root subtree and one for each team.

The base revision of an edit is taken from --base-revision, or from a last line "# base revision: N" in the file,
as settings get writes it; apply then updates that line. Without either it is 0: the subtree must not exist yet.

Exit codes: 0 done, 1 failed and nothing changed, 2 the settings are invalid, 3 conflict with another edit,
4 outcome unknown, 5 accepted but not in force on every VM within --wait.`

// settingsCommand returns the commands that check, change and show settings.
func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:        "settings",
		Usage:       "check, change and show the shared settings",
		Description: settingsHelp,
		Commands: []*cli.Command{
			{Name: "check", Usage: "check files offline, alone and together", ArgsUsage: "FILE...", Action: checkSettings,
				Description: settingsHelp},
			{Name: "plan", Usage: "show what applying a file would change", ArgsUsage: "FILE", Action: planSettings,
				Flags: append(editFlags(), vmFlags()...), Description: settingsHelp},
			{Name: "apply", Usage: "put a file in force", ArgsUsage: "FILE", Action: applySettings,
				Flags: append(append(editFlags(), waitFlags()...), vmFlags()...), Description: settingsHelp},
			{Name: "get", Usage: "print the settings in force, or an earlier or named edit", Action: getSettings,
				Flags: append(getFlags(), vmFlags()...), Description: settingsHelp},
			{Name: "history", Usage: "list the accepted edits of a subtree", Action: listHistory,
				Flags: append(historyFlags(), vmFlags()...), Description: settingsHelp},
			{Name: "rollback", Usage: "put an earlier revision in force again, as a new revision", Action: rollBackSettings,
				Flags: append(append(rollbackFlags(), waitFlags()...), vmFlags()...), Description: settingsHelp},
			{Name: "restore", Usage: "write what is in force back to a store that has lost accepted edits",
				Action: restoreSettings, Flags: vmFlags(),
				Description: "Needs the administrators' token. Use it after the platform's store was restored from an old copy,\n" +
					"on a VM with the highest generation that status shows.\n\nExit codes: 0 done, 1 failed."},
		},
	}
}

func vmFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "address", Usage: "operator address of any VM", Required: true,
			Sources: cli.EnvVars("CASSIASADDLE_ADDRESS")},
		&cli.StringFlag{Name: "token", Usage: "token of the subtree's owner", Sources: cli.EnvVars("CASSIASADDLE_TOKEN")},
	}
}

func subtreeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "team", Usage: "the team whose subtree is meant"},
		&cli.StringFlag{Name: "subtree", Usage: "the subtree by its name, root or a team"},
	}
}

func editIDFlag() cli.Flag {
	return &cli.StringFlag{Name: "edit", Usage: "edit id; a new one when left out"}
}

func authorFlag() cli.Flag {
	return &cli.StringFlag{Name: "author", Usage: "who makes the edit, for the history; the login name when left out"}
}

func editFlags() []cli.Flag {
	return append(subtreeFlags(), editIDFlag(), authorFlag(),
		&cli.Uint64Flag{Name: "base-revision", Usage: "the revision that the file is based on"})
}

func waitFlags() []cli.Flag {
	return []cli.Flag{&cli.DurationFlag{Name: "wait", Usage: "how long to wait until it is in force on every live VM",
		Value: 5 * time.Second}}
}

func getFlags() []cli.Flag {
	return append(subtreeFlags(), &cli.StringFlag{Name: "edit", Usage: "show this edit and whether it was accepted"},
		&cli.Uint64Flag{Name: "revision", Usage: "show this revision"})
}

func historyFlags() []cli.Flag {
	return append(subtreeFlags(), &cli.IntFlag{Name: "limit", Usage: "how many edits to list", Value: 20})
}

func rollbackFlags() []cli.Flag {
	return append(subtreeFlags(), editIDFlag(), authorFlag(),
		&cli.Uint64Flag{Name: "to", Usage: "the revision to go back to", Required: true})
}

func operatorClient(c *cli.Command) *cassiatree.OperatorClient {
	return &cassiatree.OperatorClient{Address: c.String("address"), Token: c.String("token")}
}

// exitError gives an error the exit code of its kind.
func exitError(err error) error {
	var invalid *cassiasettings.InvalidError
	var refusal *cassiatree.ErrorReply
	switch {
	case err == nil:
		return nil
	case errors.As(err, &invalid):
		return cli.Exit(err.Error(), exitInvalid)
	case !errors.As(err, &refusal):
		return cli.Exit(err.Error(), exitFailed)
	}
	switch refusal.Kind {
	case cassiatree.ErrorInvalid, cassiatree.ErrorTooLarge:
		return cli.Exit(refusal.Message, exitInvalid)
	case cassiatree.ErrorConflict:
		return cli.Exit(refusal.Message+"\n"+refusal.Conflict.Diff, exitConflict)
	case cassiatree.ErrorOutcomeUnknown:
		return cli.Exit(refusal.Message, exitOutcomeUnknown)
	}
	return cli.Exit(string(refusal.Kind)+": "+refusal.Message, exitFailed)
}

// settingsFile is a file of settings and the base revision that its last line names.
type settingsFile struct {
	text    cassiasettings.Text
	subtree cassiasettings.Subtree
	base    cassiaid.Revision
	marked  bool
}

var baseLine = regexp.MustCompile(`(?m)^# base revision: (\d+)\s*\z`)

func readSettingsFile(name string) (settingsFile, error) {
	f := settingsFile{text: cassiasettings.Text{File: name}}
	file, err := os.Open(name)
	if err != nil {
		return f, fmt.Errorf("read settings: %w; check the path", err)
	}
	defer func() { _ = file.Close() }()
	content, err := io.ReadAll(io.LimitReader(file, cassiasettings.MaxSubtreeBytes+1<<10))
	if err != nil {
		return f, fmt.Errorf("read settings: %w; check the path", err)
	}
	if m := baseLine.FindSubmatchIndex(content); m != nil {
		revision, err := strconv.ParseUint(string(content[m[2]:m[3]]), 10, 64)
		if err != nil {
			return f, fmt.Errorf("%s: the base revision in the last line is too large; correct it", name)
		}
		f.base, f.marked = cassiaid.Revision(revision), true
		content = content[:m[0]]
	}
	f.text.YAML = content
	if len(content) <= cassiasettings.MaxSubtreeBytes {
		f.subtree, err = cassiasettings.DetectSubtree(f.text)
	}
	return f, err
}

// withBase appends the line that names the base revision.
func withBase(yaml string, revision cassiaid.Revision) string {
	if yaml != "" && yaml[len(yaml)-1] != '\n' {
		yaml += "\n"
	}
	return yaml + fmt.Sprintf("# base revision: %d\n", revision)
}

func checkSettings(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return cli.Exit("name the files to check", exitFailed)
	}
	var texts []cassiasettings.Text
	for _, name := range c.Args().Slice() {
		f, err := readSettingsFile(name)
		if err != nil {
			return exitError(err)
		}
		texts = append(texts, f.text)
	}
	if err := cassiasettings.CheckTexts(texts); err != nil {
		return exitError(err)
	}
	_, err := fmt.Fprintf(c.Root().Writer, "%d files are valid\n", len(texts))
	return err
}

// namedSubtree returns the subtree that the flags name; empty when they name none.
func namedSubtree(c *cli.Command) (cassiasettings.Subtree, error) {
	team, subtree := c.String("team"), c.String("subtree")
	if team != "" && subtree != "" && team != subtree {
		return "", errors.New("--team and --subtree name different subtrees; give one of them")
	}
	if team != "" {
		return cassiasettings.Subtree(team), nil
	}
	return cassiasettings.Subtree(subtree), nil
}

func requiredSubtree(c *cli.Command) (cassiasettings.Subtree, error) {
	subtree, err := namedSubtree(c)
	if err == nil && subtree == "" {
		err = errors.New("name the subtree by --team NAME or --subtree root")
	}
	return subtree, err
}

// editOf builds the edit that the flags and the file describe, checked as far as possible offline.
func editOf(c *cli.Command) (settingsFile, cassiatree.EditRequest, error) {
	var request cassiatree.EditRequest
	if c.Args().Len() != 1 {
		return settingsFile{}, request, errors.New("name one file")
	}
	f, err := readSettingsFile(c.Args().First())
	if err != nil {
		return f, request, err
	}
	if err := cassiasettings.CheckTexts([]cassiasettings.Text{f.text}); err != nil {
		return f, request, err
	}
	named, err := namedSubtree(c)
	if err != nil {
		return f, request, err
	}
	if named != "" && named != f.subtree {
		return f, request, fmt.Errorf("%s holds subtree %q and not %q; name the right file", f.text.File, f.subtree, named)
	}
	if c.IsSet("base-revision") {
		f.base = cassiaid.Revision(c.Uint64("base-revision"))
	}
	id, err := editIDOf(c)
	request = cassiatree.EditRequest{YAML: string(f.text.YAML), BaseRevision: f.base, EditID: id, Author: authorOf(c)}
	return f, request, err
}

func editIDOf(c *cli.Command) (cassiasettings.EditID, error) {
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

func authorOf(c *cli.Command) string {
	if author := c.String("author"); author != "" {
		return author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func planSettings(ctx context.Context, c *cli.Command) error {
	f, request, err := editOf(c)
	if err != nil {
		return exitError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	plan, err := operatorClient(c).Plan(ctx, f.subtree, request)
	if err != nil {
		return exitError(err)
	}
	if plan.Diff == "" {
		plan.Diff = "no change\n"
	}
	_, err = fmt.Fprint(c.Root().Writer, plan.Diff)
	return err
}

func applySettings(ctx context.Context, c *cli.Command) error {
	f, request, err := editOf(c)
	if err != nil {
		return exitError(err)
	}
	client := operatorClient(c)
	accepted, err := resend(ctx, request.EditID, func(ctx context.Context) (cassiatree.Accepted, error) {
		return client.Apply(ctx, f.subtree, request)
	})
	if err != nil {
		return exitError(err)
	}
	if f.marked {
		content := withBase(string(f.text.YAML), accepted.Revision)
		if err := os.WriteFile(f.text.File, []byte(content), 0o644); err != nil {
			_, _ = fmt.Fprintf(c.Root().ErrWriter, "%s: the base revision was not updated: %v\n", f.text.File, err)
		}
	}
	return reportInForce(ctx, c, client, accepted)
}

func rollBackSettings(ctx context.Context, c *cli.Command) error {
	subtree, err := requiredSubtree(c)
	if err != nil {
		return exitError(err)
	}
	id, err := editIDOf(c)
	if err != nil {
		return exitError(err)
	}
	request := cassiatree.RollbackRequest{ToRevision: cassiaid.Revision(c.Uint64("to")), EditID: id, Author: authorOf(c)}
	client := operatorClient(c)
	accepted, err := resend(ctx, id, func(ctx context.Context) (cassiatree.Accepted, error) {
		return client.Rollback(ctx, subtree, request)
	})
	if err != nil {
		return exitError(err)
	}
	return reportInForce(ctx, c, client, accepted)
}

// resend repeats an edit whose answer was lost; the edit id keeps it from being applied twice.
func resend(ctx context.Context, id cassiasettings.EditID,
	send func(context.Context) (cassiatree.Accepted, error)) (cassiatree.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	sent := false
	for {
		accepted, err := send(ctx)
		var refusal *cassiatree.ErrorReply
		if err == nil || errors.As(err, &refusal) && refusal.Kind != cassiatree.ErrorUnavailable {
			return accepted, err
		}
		var dial *net.OpError
		if refusal == nil {
			sent = sent || !errors.As(err, &dial) || dial.Op != "dial"
		}
		if !sent {
			return accepted, err
		}
		select {
		case <-ctx.Done():
			message := fmt.Sprintf("the VM's answer was lost, the edit may be accepted or not; "+
				"run settings get --edit %s on another VM, or apply again with --edit %s: %v", id, id, err)
			return accepted, &cassiatree.ErrorReply{Kind: cassiatree.ErrorOutcomeUnknown, Message: message}
		case <-time.After(resendPause):
		}
	}
}

// reportInForce prints where an accepted edit is in force and waits until it is in force everywhere.
func reportInForce(ctx context.Context, c *cli.Command, client *cassiatree.OperatorClient, a cassiatree.Accepted) error {
	w := c.Root().Writer
	_, _ = fmt.Fprintf(w, "accepted: subtree %s revision %d, edit %s, generation %d\n",
		a.Subtree, a.Revision, a.EditID, a.Generation)
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.Duration("wait"))
	defer cancel()
	behind := []cassiatree.MemberInForce{{Name: "(the VM asked does not answer)"}}
	for {
		reply, err := client.InForce(ctx, a.Generation)
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
			return cli.Exit(message+"\nit will be in force there once they are reachable; see cassiasaddle status", exitNotInForce)
		case <-time.After(inForcePoll):
		}
	}
}

func membersBehind(reply cassiatree.InForceReply, g cassiaid.Generation) []cassiatree.MemberInForce {
	var behind []cassiatree.MemberInForce
	for _, m := range reply.Members {
		if m.Generation < g {
			behind = append(behind, m)
		}
	}
	return behind
}

func getSettings(ctx context.Context, c *cli.Command) error {
	subtree, err := requiredSubtree(c)
	if err != nil {
		return exitError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	edit, err := operatorClient(c).Get(ctx, subtree, cassiasettings.EditID(c.String("edit")), cassiaid.Revision(c.Uint64("revision")))
	if err != nil {
		return exitError(err)
	}
	if !edit.StoreRead {
		_, _ = fmt.Fprintln(c.Root().ErrWriter, "the store cannot be read; this is what the VM has in force")
	}
	if c.String("edit") != "" {
		_, _ = fmt.Fprintf(c.Root().ErrWriter, "edit %s of %s: accepted %t, in force %t, revision %d\n",
			edit.EditID, edit.Author, edit.Accepted, edit.InForce, edit.Revision)
	}
	_, err = fmt.Fprint(c.Root().Writer, withBase(edit.YAML, edit.Revision))
	return err
}

func restoreSettings(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	reply, err := operatorClient(c).Restore(ctx)
	if err != nil {
		return exitError(err)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "the store holds generation %d again\n", reply.Generation)
	return err
}

func listHistory(ctx context.Context, c *cli.Command) error {
	subtree, err := requiredSubtree(c)
	if err != nil {
		return exitError(err)
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	history, err := operatorClient(c).History(ctx, subtree, c.Int("limit"))
	if err != nil {
		return exitError(err)
	}
	for _, e := range history.Edits {
		_, err = fmt.Fprintf(c.Root().Writer, "%6d  %s  %s  %8d B  %s\n", e.Revision, e.Time.Format(time.RFC3339), e.EditID,
			e.Bytes, e.Author)
	}
	return err
}
