package cassiaguard

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaquarantine"
	"cassiasaddle/core/cassiaschema"
)

// slowNode delivers each frame after a delay, as a connection that has to be opened first.
type slowNode struct {
	delay     time.Duration
	delivered atomic.Int64
}

func (n *slowNode) Exchange(ctx context.Context, _ cassiaid.VMName, _ *cassiaschema.PeerFrame) (*cassiaschema.PeerFrame, error) {
	sleep(ctx, n.delay)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	n.delivered.Add(1)
	return &cassiaschema.PeerFrame{}, nil
}

func (n *slowNode) DropSilent(cassiaid.VMName, time.Time) {}

func (n *slowNode) Send(context.Context, cassiaid.VMName, uint64, *cassiaschema.PeerFrame) error {
	return nil
}

// TestLossNoticeArrivesAfterTheWait: the result of an attempt waits a limited time for the other VMs, which must know of the loss
// nevertheless.
func TestLossNoticeArrivesAfterTheWait(t *testing.T) {
	c := qt.New(t)
	node := &slowNode{delay: 200 * time.Millisecond}
	n := &Notifier{Guard: NewGuard(nil), Node: node, Scope: tally.NoopScope, Timeout: 20 * time.Millisecond,
		Others: func(cassiaid.FrontKey) []cassiaid.VMName { return []cassiaid.VMName{"vm-2", "vm-3"} }}
	started := time.Now()
	n.ShareLoss(cassiaid.FrontKey{}, cassiaquarantine.Loss{Target: "t1"})
	c.Check(time.Since(started) < node.delay, qt.IsTrue)
	eventually(t, noticeTimeout, func() bool { return node.delivered.Load() == 2 })
}
