package test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/platform/cassiastage"
)

const (
	// crashContact is how long after a crash VMs may still send the request that caused it.
	crashContact = 4 * time.Second
	// crashesBeforeContact is the number of crashes after which crashContact begins, and crashRepeats the number of repeats
	// of the request that may still reach targets after it.
	crashesBeforeContact, crashRepeats = 3, 3
	// crashDuration is how long callers send requests. The deadly one begins after crashHeadStart, when the VMs have earned
	// some of their retry budget.
	crashDuration  = 16 * time.Second
	crashHeadStart = 3 * time.Second
	// crashMinServed is the share of the harmless requests that has to be answered.
	crashMinServed            = 0.99
	crashMinServedBesideKills = 0.9
	deadlyBody                = "crash"
)

// crashEnv is a platform environment with VMs as processes and a service whose targets crash when they run a request with
// deadlyBody.
type crashEnv struct {
	*platformEnv
	t       *testing.T
	targets *cassiastage.Supervisor
	start   time.Time
	callers errgroup.Group

	mutex    sync.Mutex
	vms      []*frontVM
	harmless []crashCall
	deadly   []crashCall
}

// crashCall is a request of a caller with its result.
type crashCall struct {
	id     string
	at     time.Time
	took   time.Duration
	status int
	retry  string
	err    error
}

func (c crashCall) served() bool { return c.err == nil && c.status == http.StatusOK }

// newCrashEnv starts VMs and a service of 12 targets behind the routes /one/, whose requests are idempotent, and /book/.
func newCrashEnv(t *testing.T, vms int) *crashEnv {
	e := &crashEnv{platformEnv: newPlatformEnv(t), t: t, start: time.Now(), vms: make([]*frontVM, vms)}
	behaviour := cassiastage.Behaviour{Work: 20 * time.Millisecond,
		Deadly: func(_ *http.Request, body []byte) bool { return string(body) == deadlyBody }}
	zones := slices.Repeat([]string{"zone-a", "zone-b"}, 6)
	e.targets = cassiastage.NewSupervisor(e.store, "fragile", []byte("the whole answer"), behaviour, zones...)
	t.Cleanup(e.targets.Close)
	e.configure(routeConfig("/one/", "idempotent", "fragile"), routeConfig("/book/", "non_idempotent", "fragile"))
	for i := range e.vms {
		e.startVM(i)
	}
	for i := range e.vms {
		e.eventually(e.vm(i).isReady, "a VM is not ready")
	}
	return e
}

func (e *crashEnv) startVM(i int) {
	vm := e.launch(e.t, fleetName(i), fleetZone(i))
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.vms[i] = vm
}

func (e *crashEnv) vm(i int) *frontVM {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.vms[i%len(e.vms)]
}

// call sends one request to a VM and records the result in calls.
func (e *crashEnv) call(calls *[]crashCall, vm *frontVM, path, body string) {
	from := time.Now()
	answer, id, err := e.do(vm, http.MethodPost, path, body)
	c := crashCall{id: id, at: from, took: time.Since(from), status: answer.status, err: err}
	if err == nil {
		c.retry = answer.header.Get("Retry-After")
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	*calls = append(*calls, c)
}

// sendDeadly sends the deadly request to the VMs in turn from crashHeadStart until crashDuration, each time an interval after
// the last.
func (e *crashEnv) sendDeadly(path string, interval time.Duration) {
	until := time.Now().Add(crashDuration)
	e.callers.Go(func() error {
		sleep(crashHeadStart)
		for i := 0; time.Now().Before(until); i++ {
			e.call(&e.deadly, e.vm(i), path, deadlyBody)
			sleep(interval)
		}
		return nil
	})
}

// sendHarmless has six callers send harmless requests, each with a body of its own, to the VMs in turn for crashDuration.
func (e *crashEnv) sendHarmless(path string) {
	until := time.Now().Add(crashDuration)
	for caller := range 6 {
		e.callers.Go(func() error {
			for i := caller; time.Now().Before(until); i++ {
				e.call(&e.harmless, e.vm(i), path, fmt.Sprintf("harmless %d %d", caller, i))
				sleep(10 * time.Millisecond)
			}
			return nil
		})
	}
}

// replaceVMs kills and starts one VM after the other at each interval until the callers stop.
func (e *crashEnv) replaceVMs(interval time.Duration) {
	until := time.Now().Add(crashDuration)
	e.callers.Go(func() error {
		for i := 0; time.Now().Before(until); i++ {
			sleep(interval)
			n := i % len(e.vms)
			e.vm(n).process.signal(syscall.SIGKILL)
			<-e.vm(n).process.exited
			e.startVM(n)
		}
		return nil
	})
}

// checkDeadly requires that the deadly request reaches targets in at most crashRepeats requests later than crashContact after
// it has crashed crashesBeforeContact of them.
func (e *crashEnv) checkDeadly() {
	e.c.Helper()
	e.c.Assert(e.callers.Wait(), qt.IsNil)
	sent := make(map[string]bool)
	for _, c := range e.deadly {
		sent[c.id] = true
	}
	var crashes []time.Time
	var arrivals []cassiastage.Arrival
	for _, target := range e.targets.All() {
		if c := target.Crashes(); len(c) > 0 {
			crashes = append(crashes, c[0].At)
		}
		for _, a := range target.Arrivals() {
			if sent[a.Request] {
				arrivals = append(arrivals, a)
			}
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := make(map[string]bool)
	for _, a := range arrivals {
		if len(crashes) >= crashesBeforeContact && a.At.After(crashes[crashesBeforeContact-1].Add(crashContact)) {
			late[a.Request] = true
		}
	}
	var after []string
	for _, at := range crashes {
		after = append(after, fmt.Sprintf("%.2f", at.Sub(e.start).Seconds()))
	}
	seen := fmt.Sprintf("the deadly request was sent %d times, reached targets %d times and crashed %d, after %v s; %d repeats reached targets more than %v after crash %d",
		len(e.deadly), len(arrivals), len(crashes), after, len(late), crashContact, crashesBeforeContact)
	e.t.Log(seen)
	e.t.Logf("deadly requests: %s", countStatuses(e.deadly))
	e.c.Check(len(late) <= crashRepeats, qt.IsTrue, qt.Commentf("%s", seen))
}

// checkHarmless requires that at least a share of the harmless requests was answered.
func (e *crashEnv) checkHarmless(minServed float64) {
	e.c.Helper()
	served := 0
	for _, c := range e.harmless {
		if c.served() {
			served++
		}
	}
	seen := fmt.Sprintf("%d of %d harmless requests were answered: %s", served, len(e.harmless), countStatuses(e.harmless))
	e.t.Log(seen)
	e.c.Check(float64(served) >= minServed*float64(len(e.harmless)), qt.IsTrue, qt.Commentf("%s", seen))
}

// countStatuses returns how many calls ended with each status; 0 stands for calls without an answer.
func countStatuses(calls []crashCall) string {
	counts := make(map[int]int)
	for _, c := range calls {
		counts[c.status]++
	}
	return fmt.Sprint(counts)
}

// TestFrontStopsRepeatsOfADeadlyRequest guards against a request that crashes targets being sent to more of them each time its
// caller repeats it.
func TestFrontStopsRepeatsOfADeadlyRequest(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, path string
		interval   time.Duration
		replaced   bool
	}{
		{name: "idempotent", path: "/one/x", interval: 250 * time.Millisecond},
		{name: "not idempotent", path: "/book/x", interval: 250 * time.Millisecond},
		{name: "rare", path: "/one/x", interval: 1200 * time.Millisecond},
		{name: "VMs are replaced", path: "/one/x", interval: 250 * time.Millisecond, replaced: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			e := newCrashEnv(t, 3)
			e.sendHarmless(test.path)
			e.sendDeadly(test.path, test.interval)
			minServed := crashMinServed
			if test.replaced {
				e.replaceVMs(2 * time.Second)
				// A killed VM breaks the requests that it serves, and callers find it gone until it has started again.
				minServed = crashMinServedBesideKills
			}
			e.checkDeadly()
			e.checkHarmless(minServed)
		})
	}
}

// TestFrontServesAPopularRequestWhoseTargetsEnd guards against a request being blamed for targets that end by themselves
// while they run it.
func TestFrontServesAPopularRequestWhoseTargetsEnd(t *testing.T) {
	t.Parallel()
	e := newCrashEnv(t, 3)
	until := time.Now().Add(crashDuration)
	for caller := range 6 {
		e.callers.Go(func() error {
			for i := caller; time.Now().Before(until); i++ {
				e.call(&e.harmless, e.vm(i), "/one/x", "popular")
			}
			return nil
		})
	}
	e.callers.Go(func() error {
		for time.Now().Before(until) {
			sleep(700 * time.Millisecond)
			e.targets.Running()[0].Crash()
		}
		return nil
	})
	e.c.Assert(e.callers.Wait(), qt.IsNil)
	const minServedOfPopular = 0.9
	e.checkHarmless(minServedOfPopular)
}
