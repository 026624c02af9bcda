package cassiaguard

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

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

// sendRecorder counts the frames sent to each VM.
type sendRecorder struct {
	slowNode
	mutex sync.Mutex
	sent  map[cassiaid.VMName]int
}

func (n *sendRecorder) Send(_ context.Context, vm cassiaid.VMName, _ uint64, _ *cassiaschema.PeerFrame) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.sent[vm]++
	return nil
}

func (n *sendRecorder) sentTo(vm cassiaid.VMName) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.sent[vm] > 0
}

// TestConnectionsAreOpenedAheadOfNotices guards against the first notice of a loss waiting for a connection to a VM, also to one
// that joined later.
func TestConnectionsAreOpenedAheadOfNotices(t *testing.T) {
	t.Parallel()
	node := &sendRecorder{sent: make(map[cassiaid.VMName]int)}
	n := &Notifier{Guard: NewGuard(nil), Node: node, Scope: tally.NoopScope}
	var joined atomic.Bool
	ctx, stop := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		n.KeepConnected(ctx, func() []cassiaid.VMName {
			if joined.Load() {
				return []cassiaid.VMName{"vm-2", "vm-3"}
			}
			return []cassiaid.VMName{"vm-2"}
		})
		return nil
	})
	eventually(t, connectInterval, func() bool { return node.sentTo("vm-2") })
	joined.Store(true)
	eventually(t, 2*connectInterval, func() bool { return node.sentTo("vm-3") })
	stop()
	qt.Check(t, group.Wait(), qt.IsNil)
	qt.Check(t, node.sent["vm-2"], qt.Equals, 1)
}
