package test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/platform/cassiastage"
)

// TestFrontPausedVMServesByWhatChangedMeanwhile guards against a VM that was paused serving the requests that wait for it by what it knew
// before the pause.
func TestFrontPausedVMServesByWhatChangedMeanwhile(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name  string
		pause time.Duration
		// change changes what the store holds, and returns the targets that must get no requests afterwards.
		change func(e *crashEnv) []*cassiastage.Target
	}{
		{"targets leave, 4 s", 4 * time.Second, (*crashEnv).drainHalf},
		{"targets leave, 5.5 s", 5500 * time.Millisecond, (*crashEnv).drainHalf},
		{"the route moves to another service", 5 * time.Second, func(e *crashEnv) []*cassiastage.Target {
			e.configure(routeConfig("/one/", "idempotent", shardName(0)))
			return e.services[0].All()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			e := newCrashEnv(t, 2)
			vm := e.vm(0)
			for i := range 40 {
				e.mustDo(vm, http.MethodGet, fmt.Sprintf("/one/%d", i), "")
			}
			vm.process.signal(syscall.SIGSTOP)
			forbidden := test.change(e)
			sleep(test.pause - time.Second)
			var callers errgroup.Group
			var served atomic.Int64
			const requests = 40
			for i := range requests {
				callers.Go(func() error {
					answer, _, err := e.do(vm, http.MethodGet, fmt.Sprintf("/one/paused-%d", i), "")
					if err == nil && answer.status == http.StatusOK {
						served.Add(1)
					}
					return nil
				})
			}
			sleep(time.Second)
			resumed := time.Now()
			vm.process.signal(syscall.SIGCONT)
			e.c.Assert(callers.Wait(), qt.IsNil)
			late := arrivalsAfter(forbidden, resumed)
			t.Logf("%d of %d requests were served, %d reached targets that get none", served.Load(), requests, late)
			e.c.Check(late, qt.Equals, 0)
			e.c.Check(served.Load() >= requests*9/10, qt.IsTrue)
		})
	}
}

// arrivalsAfter returns how many requests reached some targets after a time.
func arrivalsAfter(targets []*cassiastage.Target, at time.Time) int {
	count := 0
	for _, target := range targets {
		for _, a := range target.Arrivals() {
			if a.At.After(at) {
				count++
			}
		}
	}
	return count
}

// drainHalf has half of the targets of the first service announce that they drain, and returns them.
func (e *crashEnv) drainHalf() []*cassiastage.Target {
	targets := e.services[0].Running()
	for _, target := range targets[:len(targets)/2] {
		e.store.Put("servers/"+target.Name, target.Entry("zone-a", "draining", 1000))
	}
	return targets[:len(targets)/2]
}

// TestFrontPausedVMSendsNothingLate guards against a VM that was paused sending what another VM asked it for before, although the callers
// have left.
func TestFrontPausedVMSendsNothingLate(t *testing.T) {
	t.Parallel()
	// Callers send requests for sendFor, and wait for deadline; the pause lasts longer than both.
	const sendFor, deadline, pause = time.Second, 2 * time.Second, 3300 * time.Millisecond
	e := newCrashEnv(t, 4)
	for i := range 40 {
		e.mustDo(e.vm(i), http.MethodGet, "/search/x", "")
	}
	// The VMs with odd numbers are those of one availability zone.
	paused := []*frontVM{e.vm(1), e.vm(3)}
	for _, vm := range paused {
		vm.process.signal(syscall.SIGSTOP)
	}
	begun := time.Now()
	sent := make(map[string]bool)
	for time.Since(begun) < sendFor {
		_, id, err := e.do(e.vm(0), http.MethodGet, "/search/x", "")
		e.c.Check(err, qt.IsNil)
		sent[id] = true
		sleep(20 * time.Millisecond)
	}
	sleep(time.Until(begun.Add(pause)))
	for _, vm := range paused {
		vm.process.signal(syscall.SIGCONT)
	}
	sleep(time.Second)
	for _, service := range e.services {
		for _, target := range service.All() {
			for _, a := range target.Arrivals() {
				if sent[a.Request] && a.At.After(begun.Add(sendFor+deadline)) {
					t.Errorf("request %s reached %s %v after the last one was sent", a.Request, target.Name, a.At.Sub(begun.Add(sendFor)))
				}
			}
		}
	}
}
