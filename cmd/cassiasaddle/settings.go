package main

import (
	"errors"

	"github.com/urfave/cli/v3"

	"cassiasaddle/core/cassiasettings"
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
				Flags: append(editFlags(), operatorFlags()...), Description: settingsHelp},
			{Name: "apply", Usage: "put a file in force", ArgsUsage: "FILE", Action: applySettings,
				Flags: append(append(editFlags(), waitFlags()...), operatorFlags()...), Description: settingsHelp},
			{Name: "get", Usage: "print the settings in force, or an earlier or named edit", Action: getSettings,
				Flags: append(getFlags(), operatorFlags()...), Description: settingsHelp},
			{Name: "history", Usage: "list the accepted edits of a subtree", Action: listHistory,
				Flags: append(historyFlags(), operatorFlags()...), Description: settingsHelp},
			{Name: "rollback", Usage: "put an earlier revision in force again, as a new revision", Action: rollBackSettings,
				Flags: append(append(rollbackFlags(), waitFlags()...), operatorFlags()...), Description: settingsHelp},
			{Name: "restore", Usage: "write what is in force back to a store that has lost accepted edits",
				Action: restoreSettings, Flags: operatorFlags(),
				Description: "Needs the administrators' token. Use it after the platform's store was restored from an old copy,\n" +
					"on a VM with the highest generation that status shows.\n\nExit codes: 0 done, 1 failed."},
		},
	}
}

// subtreeFromFlags returns the subtree given by --team or --subtree, or an empty one if neither is set.
func subtreeFromFlags(c *cli.Command) (cassiasettings.Subtree, error) {
	team, subtree := c.String("team"), c.String("subtree")
	if team != "" && subtree != "" && team != subtree {
		return "", errors.New("--team and --subtree name different subtrees; give one of them")
	}
	if team != "" {
		return cassiasettings.Subtree(team), nil
	}
	return cassiasettings.Subtree(subtree), nil
}

// requiredSubtree is like subtreeFromFlags but fails if neither flag is set.
func requiredSubtree(c *cli.Command) (cassiasettings.Subtree, error) {
	subtree, err := subtreeFromFlags(c)
	if err == nil && subtree == "" {
		err = errors.New("name the subtree by --team NAME or --subtree root")
	}
	return subtree, err
}
