package test

import (
	"fmt"
	"net/http"
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
	// fleetRate is how many requests callers send a second to all VMs together.
	fleetRate = 60
	// fleetTime is how long callers send: a window of the budget and some more.
	fleetTime = 14 * time.Second
)

// fleet is some VMs as processes whose targets all fail, so that each request wants to be sent again.
type fleet struct {
	*stage
	t       *testing.T
	callers errgroup.Group
	changes errgroup.Group

	mutex sync.Mutex
	vms   []*stageVM
	sent  []time.Time
	rate  int
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{stage: newStage(t), t: t, vms: make([]*stageVM, fleetSize), rate: fleetRate}
	f.configure()
	for i, target := range f.targets {
		entry := target.Entry(fleetZone(i), "ready", 1)
		f.store.Put("servers/"+target.Name, entry)
		target.Behave(cassiastage.Behaviour{Work: 2 * time.Millisecond, Status: http.StatusInternalServerError})
	}
	return f
}

func fleetZone(i int) string { return []string{"zone-a", "zone-b"}[i%2] }

// startVM starts the process of a VM, whose earlier one has ended.
func (f *fleet) startVM(i int) {
	vm := f.launch(f.t, fmt.Sprintf("vm-%d", i), fleetZone(i))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.vms[i] = vm
}

func (f *fleet) vm(i int) *stageVM {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.vms[i]
}

func (f *fleet) startAll() {
	for i := range f.vms {
		f.startVM(i)
	}
	for i := range f.vms {
		f.eventually(f.vm(i).isReady, "a VM is not ready")
	}
	// All VMs have heard of each other.
	pause(2 * time.Second)
}

// end sends a signal to a VM's process and waits for its end.
func (f *fleet) end(i int, signal syscall.Signal) {
	process := f.vm(i).process
	process.signal(signal)
	<-process.ended
}

// send sends requests at a steady rate to the VMs in turn.
func (f *fleet) send(length time.Duration) {
	ticker := time.NewTicker(time.Second / time.Duration(f.rate))
	defer ticker.Stop()
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		vm := f.vm(i % fleetSize)
		f.mutex.Lock()
		f.sent = append(f.sent, time.Now())
		f.mutex.Unlock()
		if vm != nil {
			f.callers.Go(func() error {
				f.ask(vm, http.MethodGet, "/search/x", "") //nolint:errcheck // the targets tell what came of it
				return nil
			})
		}
		<-ticker.C
	}
}

// judge compares what each shard's targets got with the budget.
func (f *fleet) judge() {
	f.c.Assert(f.callers.Wait(), qt.IsNil)
	for shard := range stageShards {
		var arrivals []cassiastage.Arrival
		for replica := range 2 {
			arrivals = append(arrivals, f.target(fmt.Sprintf("t-%d-%d", shard, replica)).Arrivals()...)
		}
		over, at := stageBudget.excess(f.sent, arrivals)
		f.t.Logf(f.t.Name()+" shard %d: %d arrivals, %d repeats, %.1f over the budget from %v", shard, len(arrivals), len(repeatsOf(arrivals)), over, at.Sub(f.sent[0]))
		f.c.Check(over <= 0, qt.IsTrue, qt.Commentf("shard %d got %.1f repeats more than allowed from %v on", shard, over, at.Sub(f.sent[0])))
	}
}

func TestBudgetTrial(t *testing.T) {
	for _, scene := range []struct {
		name string
		play func(f *fleet)
	}{
		{"steady", func(f *fleet) { f.startAll(); f.send(fleetTime) }},
		{"start", func(f *fleet) {
			f.changes.Go(func() error {
				for i := range f.vms {
					f.startVM(i)
					pause(100 * time.Millisecond)
				}
				return nil
			})
			f.send(fleetTime)
		}},
		{"kills", func(f *fleet) {
			f.startAll()
			stop := time.Now().Add(fleetTime)
			f.changes.Go(func() error {
				for i := 0; time.Now().Before(stop); i++ {
					f.end(i%fleetSize, syscall.SIGKILL)
					f.startVM(i % fleetSize)
					pause(300 * time.Millisecond)
				}
				return nil
			})
			f.send(fleetTime)
		}},
		{"herd", func(f *fleet) {
			f.startAll()
			f.changes.Go(func() error {
				for range 3 {
					pause(3 * time.Second)
					for i := range f.vms {
						f.vm(i).process.signal(syscall.SIGKILL)
					}
					for i := range f.vms {
						f.end(i, syscall.SIGKILL)
						f.startVM(i)
					}
				}
				return nil
			})
			f.send(fleetTime)
		}},
		{"stops", func(f *fleet) {
			f.startAll()
			stop := time.Now().Add(fleetTime)
			var each errgroup.Group
			f.changes.Go(func() error {
				for i := 0; time.Now().Before(stop); i++ {
					each.Go(func() error { f.end(i%fleetSize, syscall.SIGTERM); f.startVM(i % fleetSize); return nil })
					pause(1 * time.Second)
				}
				return each.Wait()
			})
			f.send(fleetTime)
		}},
		{"revoked", func(f *fleet) {
			f.startAll()
			stop := time.Now().Add(fleetTime)
			f.changes.Go(func() error {
				for time.Now().Before(stop) {
					for i := range f.vms {
						f.store.Delete("vms/" + fmt.Sprintf("vm-%d", i))
					}
					pause(500 * time.Millisecond)
				}
				return nil
			})
			f.send(fleetTime)
		}},
		{"slowkills", func(f *fleet) {
			f.rate = 20
			f.startAll()
			stop := time.Now().Add(fleetTime)
			f.changes.Go(func() error {
				for i := 0; time.Now().Before(stop); i++ {
					f.end(i%fleetSize, syscall.SIGKILL)
					f.startVM(i % fleetSize)
					pause(300 * time.Millisecond)
				}
				return nil
			})
			f.send(fleetTime)
		}},
		{"slowherd", func(f *fleet) {
			f.rate = 20
			f.startAll()
			f.changes.Go(func() error {
				for range 5 {
					pause(1500 * time.Millisecond)
					for i := range f.vms {
						f.vm(i).process.signal(syscall.SIGKILL)
					}
					for i := range f.vms {
						f.end(i, syscall.SIGKILL)
						f.startVM(i)
					}
				}
				return nil
			})
			f.send(fleetTime)
		}},
		{"storeDown", func(f *fleet) {
			f.startAll()
			f.changes.Go(func() error {
				pause(2 * time.Second)
				f.store.SetFaults(cassiastage.Faults{Busy: true})
				pause(11 * time.Second)
				f.store.SetFaults(cassiastage.Faults{})
				return nil
			})
			f.send(24 * time.Second)
		}},
		{"turnedAway", func(f *fleet) {
			f.startAll()
			stop := time.Now().Add(fleetTime)
			f.changes.Go(func() error {
				for time.Now().Before(stop) {
					for i := range 4 {
						f.store.Delete("vms/" + fmt.Sprintf("vm-%d", i))
					}
					pause(500 * time.Millisecond)
				}
				return nil
			})
			f.send(fleetTime)
		}},
		{"pauses", func(f *fleet) {
			f.startAll()
			f.changes.Go(func() error {
				for i := range 3 {
					pause(1 * time.Second)
					f.vm(i).process.signal(syscall.SIGSTOP)
					pause(2 * time.Second)
					f.vm(i).process.signal(syscall.SIGCONT)
				}
				return nil
			})
			f.send(fleetTime)
		}},
	} {
		t.Run(scene.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			scene.play(f)
			f.c.Assert(f.changes.Wait(), qt.IsNil)
			f.judge()
		})
	}
}
