package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"cassiasaddle/core/cassiasettings"
	"cassiasaddle/io/cassiatree"
)

const resendBackoff = 300 * time.Millisecond

// sendEdit repeats an edit whose answer was lost; the edit id keeps it from being applied twice.
func sendEdit(ctx context.Context, id cassiasettings.EditID,
	send func(context.Context) (cassiatree.Accepted, error)) (cassiatree.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	maybeDelivered := false
	for {
		accepted, err := send(ctx)
		var refusal *cassiatree.ErrorReply
		if err == nil || errors.As(err, &refusal) && refusal.Kind != cassiatree.ErrorUnavailable {
			return accepted, err
		}
		var opErr *net.OpError
		if refusal == nil {
			maybeDelivered = maybeDelivered || !errors.As(err, &opErr) || opErr.Op != "dial"
		}
		if !maybeDelivered {
			return accepted, err
		}
		select {
		case <-ctx.Done():
			message := fmt.Sprintf("the VM's answer was lost, the edit may be accepted or not; "+
				"run settings get --edit %s on another VM, or apply again with --edit %s: %v", id, id, err)
			return accepted, &cassiatree.ErrorReply{Kind: cassiatree.ErrorOutcomeUnknown, Message: message}
		case <-time.After(resendBackoff):
		}
	}
}
