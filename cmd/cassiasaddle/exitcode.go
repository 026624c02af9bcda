package main

import (
	"errors"

	"github.com/urfave/cli/v3"

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

// withExitCode returns an error with the message of err and the exit code for its kind, or nil if err is nil.
func withExitCode(err error) error {
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
