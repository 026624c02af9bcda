package test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// TestServeHandOversRunNoBookingTwice guards against an owner that stops and the one that takes over both sending a booking, whose caller
// repeats it at another VM meanwhile.
func TestServeHandOversRunNoBookingTwice(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, bookingLayout())
	var keys []string
	var mutex sync.Mutex
	var answered atomic.Int64
	done := make(chan struct{})
	var callers errgroup.Group
	for caller := range 6 {
		callers.Go(func() error {
			random := rand.New(rand.NewPCG(uint64(caller), 1))
			for {
				select {
				case <-done:
					return nil
				default:
				}
				key := bookingKey()
				mutex.Lock()
				keys = append(keys, key)
				mutex.Unlock()
				var sends errgroup.Group
				first := random.IntN(len(cl.vms))
				for i := range 2 {
					sends.Go(func() error {
						sleep(time.Duration(i) * time.Duration(random.IntN(30)) * time.Millisecond)
						if a, err := book(cl.vms[(first+i)%len(cl.vms)], key, `{"jacket":1}`); err == nil && outcome(a) == "answered" {
							answered.Add(1)
						}
						return nil
					})
				}
				sends.Wait() //nolint:errcheck // the sends return no error
			}
		})
	}
	sleep(500 * time.Millisecond)
	stopped := cl.vms[0]
	stopped.process.signal(syscall.SIGTERM)
	c.Check(stopped.process.wait(t, waitTimeout), qt.Equals, 0)
	cl.startVM(stopped)
	eventually(t, waitTimeout, "the VM is ready again", func() bool { return cl.status(stopped).Ready })
	sleep(500 * time.Millisecond)
	close(done)
	c.Assert(callers.Wait(), qt.IsNil)
	cl.checkStartedOnce(keys, 0)
	t.Logf("%d bookings, %d of %d sends answered", len(keys), answered.Load(), 2*len(keys))
	c.Check(answered.Load() > int64(len(keys))/2, qt.IsTrue)
}

// TestFrontHandOversRunNoOrderTwice guards against the same in cassiafront, where each request has an id of its own and VMs without links
// to targets have others serve it, while VMs stop, start and lose their links.
func TestFrontHandOversRunNoOrderTwice(t *testing.T) {
	t.Parallel()
	e := newCrashEnv(t, 4)
	done := make(chan struct{})
	var callers errgroup.Group
	var served, sent atomic.Int64
	for caller := range 6 {
		callers.Go(func() error {
			for i := caller; ; i++ {
				select {
				case <-done:
					return nil
				default:
				}
				sent.Add(1)
				if answer, _, err := e.do(e.vm(i), http.MethodPost, fmt.Sprintf("/book/%d", i), "order"); err == nil && answer.status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	for i := range e.vms {
		sleep(500 * time.Millisecond)
		vm := e.vm(i)
		vm.process.signal(syscall.SIGTERM)
		// The successor of another VM freezes for a moment while this one hands over.
		other := e.vm(i + 1)
		other.process.signal(syscall.SIGSTOP)
		sleep(time.Duration(300+400*i) * time.Millisecond)
		other.process.signal(syscall.SIGCONT)
		<-vm.process.exited
		e.startVM(i)
		e.eventually(e.vm(i).isReady, "the VM is not ready again")
	}
	close(done)
	e.c.Assert(callers.Wait(), qt.IsNil)
	for _, service := range e.services {
		runs := make(map[string]int)
		for _, target := range service.All() {
			for id, n := range target.Runs() {
				runs[id] += n
			}
		}
		for id, n := range runs {
			e.c.Check(n <= 1, qt.IsTrue, qt.Commentf("order %s ran %d times", id, n))
		}
	}
	t.Logf("%d of %d orders were served", served.Load(), sent.Load())
	e.c.Check(served.Load() > sent.Load()/2, qt.IsTrue)
}
