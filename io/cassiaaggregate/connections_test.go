package cassiaaggregate

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiagateway"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// sendRecorder counts the frames sent to each VM.
type sendRecorder struct {
	mutex sync.Mutex
	sent  map[cassiaid.VMName]int
}

func (*sendRecorder) Drop(cassiaid.VMName) {}

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
	client := NewClient(node, func(cassiagateway.AttemptsEnded) {})
	var joined atomic.Bool
	ctx, stop := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		client.KeepConnected(ctx, func() []cassiaid.VMName {
			if joined.Load() {
				return []cassiaid.VMName{"vm-2", "vm-3"}
			}
			return []cassiaid.VMName{"vm-2"}
		})
		return nil
	})
	eventually := func(within time.Duration, vm cassiaid.VMName) {
		for end := time.Now().Add(within); !node.sentTo(vm); time.Sleep(5 * time.Millisecond) {
			qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("no frame to %s within %v", vm, within))
		}
	}
	eventually(connectInterval, "vm-2")
	joined.Store(true)
	eventually(2*connectInterval, "vm-3")
	stop()
	qt.Check(t, group.Wait(), qt.IsNil)
	qt.Check(t, node.sent["vm-2"], qt.Equals, 1)
}

// TestConnectionsAreOpenedAFewAtATime guards against a VM that spends its processor on handshakes while callers wait, and against lost
// connections that the next fan-out has to open.
func TestConnectionsAreOpenedAFewAtATime(t *testing.T) {
	t.Parallel()
	node := &sendRecorder{sent: make(map[cassiaid.VMName]int)}
	client := NewClient(node, func(cassiagateway.AttemptsEnded) {})
	var vms []cassiaid.VMName
	for i := range 2*maxOpenedTogether + 1 {
		vms = append(vms, cassiaid.VMName(fmt.Sprint("vm-", i)))
	}
	ctx, stop := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error {
		client.KeepConnected(ctx, func() []cassiaid.VMName { return vms })
		return nil
	})
	time.Sleep(connectInterval / 2)
	for i, vm := range vms {
		qt.Check(t, node.sentTo(vm), qt.Equals, i < maxOpenedTogether, qt.Commentf("%s", vm))
	}
	time.Sleep(2 * connectInterval)
	for _, vm := range vms {
		qt.Check(t, node.sentTo(vm), qt.IsTrue, qt.Commentf("%s", vm))
	}
	client.PeerLost("vm-0")
	time.Sleep(connectInterval)
	stop()
	qt.Check(t, group.Wait(), qt.IsNil)
	for _, vm := range vms {
		want := 1
		if vm == "vm-0" {
			want = 2
		}
		qt.Check(t, node.sent[vm], qt.Equals, want, qt.Commentf("%s", vm))
	}
}
