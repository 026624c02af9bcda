package cassiaguard

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaquarantine"
	"cassiasaddle/core/cassiaschema"
)

// testNetwork connects the notifiers of VMs.
type testNetwork struct {
	vms []*Notifier
	cut atomic.Bool
}

// testLink is a VM's connection to a testNetwork.
type testLink struct {
	network *testNetwork
	from    int
}

func vmName(i int) cassiaid.VMName { return cassiaid.VMName(fmt.Sprintf("vm-%d", i)) }

func (l testLink) Exchange(_ context.Context, vm cassiaid.VMName, frame *cassiaschema.PeerFrame) (*cassiaschema.PeerFrame, error) {
	for i, n := range l.network.vms {
		if vmName(i) == vm && !l.network.cut.Load() {
			reply, _ := n.HandleFrame(vmName(l.from), frame)
			return reply, nil
		}
	}
	return nil, errors.New("cut off")
}

func (l testLink) Send(ctx context.Context, vm cassiaid.VMName, _ uint64, frame *cassiaschema.PeerFrame) error {
	_, err := l.Exchange(ctx, vm, frame)
	return err
}

func (l testLink) DropSilent(cassiaid.VMName, time.Time) {}

// newTestNetwork returns a network of VMs that do not announce quarantines.
func newTestNetwork(vms int) *testNetwork {
	network := &testNetwork{}
	for i := range vms {
		n := &Notifier{Guard: NewGuard(clockwork.NewRealClock()), Node: testLink{network, i}, Scope: tally.NoopScope,
			Quarantined: func(cassiaquarantine.ShareQuarantine) {}}
		n.Others = func(cassiaid.FrontKey) []cassiaid.VMName {
			var others []cassiaid.VMName
			for other := range vms {
				if other != i {
					others = append(others, vmName(other))
				}
			}
			return others
		}
		n.Guard.SetPeers(n)
		network.vms = append(network.vms, n)
	}
	return network
}

// crash sends a request to a target that it crashes, and reports whether the VM has sent it.
func (n *testNetwork) crash(t *testing.T, vm int, attempt cassiaid.AttemptID, caller, content cassiaid.Fingerprint) bool {
	guard := n.vms[vm].Guard
	run := cassiaquarantine.Run{Attempt: attempt, Fingerprint: caller, Content: content}
	target := cassiaid.TargetName(fmt.Sprint("target-", attempt))
	if !guard.TryStart(run, target) && Refuses(guard.StartSuspect(t.Context(), cassiaid.FrontKey{}, run, target, testLimit)) {
		return false
	}
	guard.End(cassiaid.FrontKey{}, attempt, cassiaquarantine.EndingLost)
	return true
}

// TestLossesDuringACutAreToldAfterIt guards against VMs that each saw a target lost while they were cut off from each other going
// on as if the others had seen none.
func TestLossesDuringACutAreToldAfterIt(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	n := newTestNetwork(3)
	n.cut.Store(true)
	for vm := range 3 {
		attempt := cassiaid.AttemptID(vm + 1)
		c.Assert(n.crash(t, vm, attempt, cassiaid.Fingerprint(attempt), 1000), qt.IsTrue)
	}
	n.cut.Store(false)
	c.Check(n.crash(t, 0, 4, 4, 1000), qt.IsFalse)
}

// TestVMThatMissedAQuarantineLearnsOfItBeforeItRunsASuspect guards against a VM running a suspect that others refuse.
func TestVMThatMissedAQuarantineLearnsOfItBeforeItRunsASuspect(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	n := newTestNetwork(2)
	c.Assert(n.crash(t, 0, 1, 1, 0), qt.IsTrue)
	n.cut.Store(true)
	c.Assert(n.crash(t, 0, 2, 1, 0), qt.IsTrue)
	n.cut.Store(false)
	c.Check(n.crash(t, 1, 3, 1, 0), qt.IsFalse)
	c.Check(n.vms[1].Guard.Remaining(1) > time.Second, qt.IsTrue)
}
