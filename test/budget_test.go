package test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/platform/cassiastage"
)

const (
	fleetSize = 7
	// sendDuration is how long callers send requests. It is longer than a window of the retry budget.
	sendDuration = 14 * time.Second
)

// fleet is a group of VMs as processes whose targets all fail, so that every request is a candidate for a retry.
type fleet struct {
	*platformEnv
	t *testing.T
	// rate is the number of requests per second that callers send to all VMs together.
	rate        int
	callers     errgroup.Group
	disruptions errgroup.Group

	// restarting serialises the restarts of each VM, so that no process is stopped while it starts.
	restarting [fleetSize]sync.Mutex

	mutex sync.Mutex
	vms   []*frontVM
	// sent holds the time at which each request was sent.
	sent []time.Time
}

// newFleet starts the VMs and waits until each lists all others.
func newFleet(t *testing.T, rate int) *fleet {
	f := &fleet{platformEnv: newPlatformEnv(t), t: t, rate: rate, vms: make([]*frontVM, fleetSize)}
	f.configure()
	for i, target := range f.targets {
		f.store.Put("servers/"+target.Name, target.Entry(fleetZone(i), "ready", 1))
		target.SetBehaviour(cassiastage.Behaviour{Work: 2 * time.Millisecond, Status: http.StatusInternalServerError})
	}
	for i := range f.vms {
		f.startVM(i)
	}
	for i := range f.vms {
		f.eventually(f.vm(i).isReady, "a VM is not ready")
	}
	for i := range f.vms {
		f.eventually(func() bool {
			return strings.Contains(f.vm(i).process.output.String(), fmt.Sprintf("event=fleetChanged vms=%d", fleetSize))
		}, "a VM does not list all others")
	}
	return f
}

func fleetZone(i int) string { return []string{"zone-a", "zone-b"}[i%2] }

func fleetName(i int) string { return fmt.Sprintf("vm-%d", i) }

// startVM starts the process of a VM. An earlier process of the VM must have exited.
func (f *fleet) startVM(i int) {
	vm := f.launch(f.t, fleetName(i), fleetZone(i))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.vms[i] = vm
}

func (f *fleet) vm(i int) *frontVM {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.vms[i]
}

// restart stops the processes of some VMs with a signal and starts them again.
func (f *fleet) restart(signal syscall.Signal, vms ...int) {
	for _, i := range vms {
		f.restarting[i].Lock()
		defer f.restarting[i].Unlock()
		f.vm(i).process.signal(signal)
	}
	for _, i := range vms {
		<-f.vm(i).process.exited
		f.startVM(i)
	}
}

// allVMs returns the indexes of all VMs.
func (f *fleet) allVMs() []int {
	all := make([]int, fleetSize)
	for i := range all {
		all[i] = i
	}
	return all
}

// disrupt starts a disruption at each interval while callers send. Disruptions may overlap.
func (f *fleet) disrupt(interval time.Duration, disruption func(round int)) {
	until := time.Now().Add(sendDuration)
	f.disruptions.Go(func() error {
		for round := 0; time.Now().Before(until); round++ {
			f.disruptions.Go(func() error { disruption(round); return nil })
			sleep(interval)
		}
		return nil
	})
}

// send sends requests at a steady rate to the VMs in turn.
func (f *fleet) send() {
	ticker := time.NewTicker(time.Second / time.Duration(f.rate))
	defer ticker.Stop()
	until := time.Now().Add(sendDuration)
	for i := 0; time.Now().Before(until); i++ {
		vm := f.vm(i % fleetSize)
		f.sent = append(f.sent, time.Now())
		f.callers.Go(func() error {
			f.do(vm, http.MethodGet, "/search/x", "") //nolint:errcheck // the test checks what arrived at the targets
			return nil
		})
		<-ticker.C
	}
}

// checkRetryBudget requires that the repeated requests to the targets of each shard are within the retry budget,
// and that there are at least minRepeats.
func (f *fleet) checkRetryBudget(minRepeats int) {
	f.c.Assert(f.disruptions.Wait(), qt.IsNil)
	f.c.Assert(f.callers.Wait(), qt.IsNil)
	for shard := range envShards {
		var arrivals []cassiastage.Arrival
		for replica := range 2 {
			arrivals = append(arrivals, f.target(fmt.Sprintf("t-%d-%d", shard, replica)).Arrivals()...)
		}
		over, at := envBudget.worstExcess(f.sent, arrivals)
		seen := fmt.Sprintf("the targets of shard %d got %d requests for %d sent by callers, %d of them repeated; the worst window, from %v on, is %.1f over the budget",
			shard, len(arrivals), len(f.sent), len(repeatedArrivals(arrivals)), at.Format(time.StampMilli), over)
		f.t.Log(seen)
		f.c.Check(over <= 0, qt.IsTrue, qt.Commentf("%s", seen))
		f.c.Check(2*len(arrivals) > len(f.sent), qt.IsTrue, qt.Commentf("the targets of shard %d got only %d requests for %d sent by callers", shard, len(arrivals), len(f.sent)))
		f.c.Check(len(repeatedArrivals(arrivals)) >= minRepeats, qt.IsTrue, qt.Commentf("%s; at least %d were expected", seen, minRepeats))
	}
}

// TestSteadyVMsUseTheRetryBudget requires that undisturbed VMs send most of the retries that the ratio allows.
func TestSteadyVMsUseTheRetryBudget(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 60)
	f.send()
	const minUsedShare = 0.8
	f.checkRetryBudget(int(minUsedShare * envBudget.ratio * float64(len(f.sent))))
}

// TestRestartedVMsKeepToTheRetryBudget requires that VMs keep to the retry budget while all are killed and restarted several
// times within a window.
func TestRestartedVMsKeepToTheRetryBudget(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 20)
	f.disrupt(1500*time.Millisecond, func(int) { f.restart(syscall.SIGKILL, f.allVMs()...) })
	f.send()
	f.checkRetryBudget(0)
}

// TestUnlistedVMsKeepToTheRetryBudget requires that VMs keep to the retry budget while they serve after the store has dropped
// their entries.
func TestUnlistedVMsKeepToTheRetryBudget(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 60)
	f.disrupt(500*time.Millisecond, func(int) {
		for i := range f.vms {
			f.store.Delete("vms/" + fleetName(i))
		}
	})
	f.send()
	f.checkRetryBudget(0)
}

// TestStoppingVMsKeepToTheRetryBudget requires that VMs keep to the retry budget while they stop one after the other. A
// stopping VM is no longer listed but still serves.
func TestStoppingVMsKeepToTheRetryBudget(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 20)
	f.disrupt(700*time.Millisecond, func(round int) { f.restart(syscall.SIGTERM, round%fleetSize) })
	f.send()
	f.checkRetryBudget(0)
}
