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

// sendEdit sends an edit, and sends it again when the answer was lost; the edit id keeps it from being applied twice. Without
// an answer within operatorTimeout it returns an ErrorOutcomeUnknown, because the VM may have received the edit.
func sendEdit(ctx context.Context, id cassiasettings.EditID,
	send func(context.Context) (cassiatree.ApplyReply, error)) (cassiatree.ApplyReply, error) {
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
		if refusal == nil { // only a failed dial proves that the VM did not receive the edit
			maybeDelivered = maybeDelivered || !errors.As(err, &opErr) || opErr.Op != "dial"
		}
		if !maybeDelivered {
			return accepted, err
		}
		select {
		case <-ctx.Done():
			message := fmt.Sprintf("the VM's answer was lost, so the edit may or may not be accepted; "+
				"run settings get --edit %s on another VM, or apply again with --edit %s: %v", id, id, err)
			return accepted, &cassiatree.ErrorReply{Kind: cassiatree.ErrorOutcomeUnknown, Message: message}
		case <-time.After(resendBackoff):
		}
	}
}
