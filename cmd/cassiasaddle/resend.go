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

const resendPause = 300 * time.Millisecond

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
