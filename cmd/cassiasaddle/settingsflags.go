package main

import (
	"time"

	"github.com/urfave/cli/v3"
)

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
