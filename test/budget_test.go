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
	// fleetTime is how long callers send: a window of the budget and some more.
	fleetTime = 14 * time.Second
)

// fleet is some VMs as processes whose targets all fail, so that every request wants to be sent again.
type fleet struct {
	*stage
	t *testing.T
	// rate is how many requests callers send a second to all VMs together.
	rate    int
	callers errgroup.Group
	changes errgroup.Group

	// restarting guards each VM's process from being ended while it starts.
	restarting [fleetSize]sync.Mutex

	mutex sync.Mutex
	vms   []*stageVM
	// sent is when each request was sent.
	sent []time.Time
}

// newFleet starts the VMs and waits until they know each other.
func newFleet(t *testing.T, rate int) *fleet {
	f := &fleet{stage: newStage(t), t: t, rate: rate, vms: make([]*stageVM, fleetSize)}
	f.configure()
	for i, target := range f.targets {
		f.store.Put("servers/"+target.Name, target.Entry(fleetZone(i), "ready", 1))
		target.Behave(cassiastage.Behaviour{Work: 2 * time.Millisecond, Status: http.StatusInternalServerError})
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
		}, "a VM does not know all others")
	}
	return f
}

func fleetZone(i int) string { return []string{"zone-a", "zone-b"}[i%2] }

func fleetName(i int) string { return fmt.Sprintf("vm-%d", i) }

// startVM starts the process of a VM, whose earlier one has ended.
func (f *fleet) startVM(i int) {
	vm := f.launch(f.t, fleetName(i), fleetZone(i))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.vms[i] = vm
}

func (f *fleet) vm(i int) *stageVM {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.vms[i]
}

// restart ends the processes of some VMs by a signal and starts them again.
func (f *fleet) restart(signal syscall.Signal, vms ...int) {
	for _, i := range vms {
		f.restarting[i].Lock()
		defer f.restarting[i].Unlock()
		f.vm(i).process.signal(signal)
	}
	for _, i := range vms {
		<-f.vm(i).process.ended
		f.startVM(i)
	}
}

// everyVM lists all VMs.
func (f *fleet) everyVM() []int {
	all := make([]int, fleetSize)
	for i := range all {
		all[i] = i
	}
	return all
}

// repeat changes something again and again while callers send; each change ends on its own.
func (f *fleet) repeat(every time.Duration, change func(round int)) {
	until := time.Now().Add(fleetTime)
	f.changes.Go(func() error {
		for round := 0; time.Now().Before(until); round++ {
			f.changes.Go(func() error { change(round); return nil })
			pause(every)
		}
		return nil
	})
}

// send sends requests at a steady rate to the VMs in turn.
func (f *fleet) send() {
	ticker := time.NewTicker(time.Second / time.Duration(f.rate))
	defer ticker.Stop()
	until := time.Now().Add(fleetTime)
	for i := 0; time.Now().Before(until); i++ {
		vm := f.vm(i % fleetSize)
		f.sent = append(f.sent, time.Now())
		f.callers.Go(func() error {
			f.ask(vm, http.MethodGet, "/search/x", "") //nolint:errcheck // the targets tell what came of it
			return nil
		})
		<-ticker.C
	}
}

// judge compares what the targets of each shard got with the retry budget, and with the repeats that should have been sent.
func (f *fleet) judge(leastRepeats int) {
	f.c.Assert(f.changes.Wait(), qt.IsNil)
	f.c.Assert(f.callers.Wait(), qt.IsNil)
	for shard := range stageShards {
		var arrivals []cassiastage.Arrival
		for replica := range 2 {
			arrivals = append(arrivals, f.target(fmt.Sprintf("t-%d-%d", shard, replica)).Arrivals()...)
		}
		over, at := stageBudget.excess(f.sent, arrivals)
		seen := fmt.Sprintf("shard %d got %d requests for %d, %d of them repeats; the worst window, from %v on, is %.1f over the budget",
			shard, len(arrivals), len(f.sent), len(repeatsOf(arrivals)), at.Format(time.StampMilli), over)
		f.t.Log(seen)
		f.c.Check(over <= 0, qt.IsTrue, qt.Commentf("%s", seen))
		f.c.Check(2*len(arrivals) > len(f.sent), qt.IsTrue, qt.Commentf("shard %d got %d requests for %d", shard, len(arrivals), len(f.sent)))
		f.c.Check(len(repeatsOf(arrivals)) >= leastRepeats, qt.IsTrue, qt.Commentf("%s; at least %d were expected", seen, leastRepeats))
	}
}

// TestSteadyVMsUseTheRetryBudget: VMs that nothing happens to repeat most of what the ratio allows.
func TestSteadyVMsUseTheRetryBudget(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 60)
	f.send()
	const used = 0.8
	f.judge(int(used * stageBudget.ratio * float64(len(f.sent))))
}

// TestRestartedVMsKeepToTheRetryBudget: VMs that are all killed and started again several times in a window.
func TestRestartedVMsKeepToTheRetryBudget(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 20)
	f.repeat(1500*time.Millisecond, func(int) { f.restart(syscall.SIGKILL, f.everyVM()...) })
	f.send()
	f.judge(0)
}

// TestUnlistedVMsKeepToTheRetryBudget: VMs that serve while the store has dropped their entries.
func TestUnlistedVMsKeepToTheRetryBudget(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 60)
	f.repeat(500*time.Millisecond, func(int) {
		for i := range f.vms {
			f.store.Delete("vms/" + fleetName(i))
		}
	})
	f.send()
	f.judge(0)
}

// TestStoppingVMsKeepToTheRetryBudget: VMs that stop one after the other, off the list while they still serve.
func TestStoppingVMsKeepToTheRetryBudget(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 20)
	f.repeat(700*time.Millisecond, func(round int) { f.restart(syscall.SIGTERM, round%fleetSize) })
	f.send()
	f.judge(0)
}
