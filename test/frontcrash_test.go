package test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/platform/cassiastage"
	"cassiasaddle/standin/cassiarelay"
)

const (
	// crashContact is how long after a crash VMs may still send the request that caused it.
	crashContact = 4 * time.Second
	// crashesBeforeContact is the number of crashes after which crashContact begins, and crashRepeats the number of repeats
	// of the request that may still reach targets after it.
	crashesBeforeContact, crashRepeats = 3, 3
	// crashLimit is the number of targets that a request may crash whose repeats do not overlap.
	crashLimit = 2
	// crashDuration is how long callers send requests. The deadly one begins after crashHeadStart, when the VMs have earned
	// some of their retry budget.
	crashDuration  = 16 * time.Second
	crashHeadStart = 3 * time.Second
	// crashMinServed is the share of the harmless requests that has to be answered.
	crashMinServed            = 0.99
	crashMinServedBesideKills = 0.9
	crashInterval             = 250 * time.Millisecond
	// crashAddresses is the number of addresses of a caller that changes its address with each request.
	crashAddresses = 60
	deadlyBody     = "crash"
)

// crashEnv is a platform environment with VMs as processes, a relay in front of each VM's peer address, and services whose
// targets crash when they run a request with deadlyBody.
type crashEnv struct {
	*platformEnv
	t        *testing.T
	services []*cassiastage.Supervisor
	start    time.Time
	callers  errgroup.Group
	number   int32
	// crashAfter is how long targets run the deadly request before they crash.
	crashAfter time.Duration
	relays     []*cassiarelay.Relay

	mutex    sync.Mutex
	vms      []*frontVM
	harmless []crashCall
	deadly   []crashCall
}

// crashCall is a request of a caller with its result.
type crashCall struct {
	id     string
	vm     *frontVM
	at     time.Time
	took   time.Duration
	status int
	retry  string
	reason string
	err    error
}

func (c crashCall) served() bool { return c.err == nil && c.status == http.StatusOK }

// newCrashEnv returns a started environment whose targets crash as soon as they run the deadly request.
func newCrashEnv(t *testing.T, vms int) *crashEnv { return startCrashEnv(t, vms, 0) }

// startCrashEnv starts VMs, a service of 12 targets behind the routes /one/, whose requests are idempotent, and /book/, and three
// targets for each shard of /search/.
func startCrashEnv(t *testing.T, vms int, crashAfter time.Duration) *crashEnv {
	e := &crashEnv{crashAfter: crashAfter, platformEnv: &platformEnv{c: qt.New(t), store: cassiastage.NewStore()}, t: t, start: time.Now(),
		vms: make([]*frontVM, vms)}
	e.reserveAddresses()
	e.serveStore(t)
	e.addService("fragile", []byte("the whole answer"), slices.Repeat([]string{"zone-a", "zone-b"}, 6))
	for shard := range envShards {
		e.addService(shardName(shard), partOf(shard), []string{"zone-a", "zone-b", "zone-a"})
	}
	e.configure(routeConfig("/one/", "idempotent", "fragile"), routeConfig("/book/", "non_idempotent", "fragile"))
	for i := range e.vms {
		e.addRelay(i)
		e.startVM(i)
	}
	for i := range e.vms {
		e.eventually(e.vm(i).isReady, "a VM is not ready")
		e.eventually(func() bool {
			return strings.Contains(e.vm(i).process.output.String(), fmt.Sprintf("event=fleetChanged vms=%d", vms))
		}, "a VM does not list all others")
	}
	return e
}

func (e *crashEnv) addService(name string, body []byte, zones []string) {
	behaviour := cassiastage.Behaviour{Work: 20 * time.Millisecond, CrashAfter: e.crashAfter,
		Deadly: func(_ *http.Request, body []byte) bool { return string(body) == deadlyBody }}
	service := cassiastage.NewSupervisor(e.store, name, body, behaviour, zones...)
	e.t.Cleanup(service.Close)
	e.services = append(e.services, service)
}

// crashEnvs counts the environments of this process, each of which has loopback addresses of its own: ports chosen by the system
// could be taken by a relay's sockets before a VM that starts again listens at them.
var crashEnvs atomic.Int32

// crashReservation is the last part of the address that reserves the others of an environment.
const crashReservation = 253

// reserveAddresses chooses loopback addresses that no other environment uses, of this process or another one, and reserves them by
// a listener until the test ends.
func (e *crashEnv) reserveAddresses() {
	for {
		e.number = crashEnvs.Add(1)
		listener, err := net.Listen("tcp", e.host(crashHostOfVM, crashReservation)+soakPort)
		if err == nil {
			e.t.Cleanup(func() { listener.Close() }) //nolint:errcheck // nothing connects to it
			return
		}
		e.c.Assert(errors.Is(err, syscall.EADDRINUSE), qt.IsTrue, qt.Commentf("%v", err))
	}
}

// host returns the loopback address of a VM or of the relay in front of it.
func (e *crashEnv) host(kind, vm int) string {
	return fmt.Sprintf("127.%d.%d.%d", 220+kind, (os.Getpid()+int(e.number)*37)%250, 1+vm)
}

// Kinds of loopback addresses, for crashEnv.host.
const (
	crashHostOfVM = iota
	crashHostOfRelay
	crashHostOfCaller
)

func (e *crashEnv) callerHost(i int) string { return e.host(crashHostOfCaller, i) }

// addRelay starts the relay in front of the peer address of a VM.
func (e *crashEnv) addRelay(vm int) {
	e.relays = append(e.relays, startRelay(e.t, cassiarelay.Options{Network: "udp", Listen: e.host(crashHostOfRelay, vm) + soakPort,
		Upstream: e.host(crashHostOfVM, vm) + ":7402", Seed: 1}))
}

func (e *crashEnv) startVM(i int) {
	vm := e.launchVM(i)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.vms[i] = vm
}

func (e *crashEnv) launchVM(i int) *frontVM {
	ports := frontPorts{ip: e.host(crashHostOfVM, i), callers: "7400", readiness: "7401", peers: "7402"}
	return e.launchAt(e.t, fleetName(i), fleetZone(i), ports, "--announce", e.host(crashHostOfRelay, i)+soakPort)
}

func (e *crashEnv) vm(i int) *frontVM {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.vms[i%len(e.vms)]
}

// call sends one request to a VM through a transport and records the result in calls.
func (e *crashEnv) call(calls *[]crashCall, transport http.RoundTripper, vm *frontVM, path, body string) {
	from := time.Now()
	answer, id, err := e.doThrough(transport, vm, http.MethodPost, path, body)
	c := crashCall{id: id, vm: vm, at: from, took: time.Since(from), status: answer.status, err: err}
	if err == nil {
		c.retry = answer.header.Get("Retry-After")
	}
	if !c.served() {
		c.reason = answer.body
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	*calls = append(*calls, c)
}

// sendDeadly sends the deadly request from crashHeadStart until crashDuration, each time an interval after the last: to the
// first VM only for a time, then to all in turn. It uses the transports in turn.
func (e *crashEnv) sendDeadly(path string, interval, firstOnly time.Duration, transports ...http.RoundTripper) {
	until := time.Now().Add(crashDuration)
	e.callers.Go(func() error {
		sleep(crashHeadStart)
		begun := time.Now()
		for i, sent := 0, 0; time.Now().Before(until); i, sent = i+1, sent+1 {
			if time.Since(begun) < firstOnly {
				i = 0
			}
			e.call(&e.deadly, transports[sent%len(transports)], e.vm(i), path, deadlyBody)
			sleep(interval)
		}
		return nil
	})
}

// impatientTransport cancels each request after a time.
type impatientTransport struct {
	http.RoundTripper
	patience time.Duration
}

func (t impatientTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(r.Context())
	time.AfterFunc(t.patience, cancel)
	return t.RoundTripper.RoundTrip(r.WithContext(ctx))
}

// sendHarmless has six callers send harmless requests, each with a body of its own, to the VMs in turn for crashDuration.
func (e *crashEnv) sendHarmless(path string) {
	until := time.Now().Add(crashDuration)
	for caller := range 6 {
		e.callers.Go(func() error {
			for i := caller; time.Now().Before(until); i++ {
				e.call(&e.harmless, e.transport, e.vm(i), path, fmt.Sprintf("harmless %d %d", caller, i))
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
			e.killVMs(i % len(e.vms))
		}
		return nil
	})
}

// killVMs kills some VMs at the same time and starts them again.
func (e *crashEnv) killVMs(vms ...int) {
	for _, i := range vms {
		e.vm(i).process.signal(syscall.SIGKILL)
	}
	for _, i := range vms {
		<-e.vm(i).process.exited
		e.startVM(i)
	}
}

// cutVMs separates all VMs from each other for a time.
func (e *crashEnv) cutVMs(d time.Duration) {
	for _, r := range e.relays {
		r.SetFaults(cassiarelay.Faults{Cut: true})
	}
	sleep(d)
	for _, r := range e.relays {
		r.SetFaults(cassiarelay.Faults{})
	}
}

// delayLinks delays all datagrams between VMs.
func (e *crashEnv) delayLinks(d time.Duration) {
	for _, r := range e.relays {
		r.SetFaults(cassiarelay.Faults{DelayMs: float64(d.Milliseconds())})
	}
}

// storeAway lets the store refuse all calls for a time.
func (e *crashEnv) storeAway(d time.Duration) {
	e.store.SetFaults(cassiastage.Faults{Busy: true})
	sleep(d)
	e.store.SetFaults(cassiastage.Faults{})
}

// cutVMsWhileStoreAway separates all VMs from each other for 2 s and from the store for 10 s.
func (e *crashEnv) cutVMsWhileStoreAway() {
	var store errgroup.Group
	store.Go(func() error { e.storeAway(10 * time.Second); return nil })
	e.cutVMs(2 * time.Second)
	store.Wait() //nolint:errcheck // it returns no error
}

// checkDeadly requires that the deadly request crashes at most the given number of targets, and that it reaches targets in at
// most crashRepeats requests later than crashContact after it has crashed crashesBeforeContact of them.
func (e *crashEnv) checkDeadly(maxCrashes int) {
	e.c.Helper()
	e.c.Assert(e.callers.Wait(), qt.IsNil)
	sent := make(map[string]bool)
	for _, c := range e.deadly {
		sent[c.id] = true
	}
	var crashes []time.Time
	var arrivals []cassiastage.Arrival
	for _, service := range e.services {
		for _, target := range service.All() {
			if c := target.Crashes(); len(c) > 0 {
				crashes = append(crashes, c[0].At)
			}
			for _, a := range target.Arrivals() {
				if sent[a.Request] {
					arrivals = append(arrivals, a)
				}
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
	e.c.Check(len(crashes) <= maxCrashes, qt.IsTrue, qt.Commentf("%s; at most %d crashes are allowed", seen, maxCrashes))
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

// countStatuses returns how many calls ended with each status and reason; 0 stands for calls without an answer.
func countStatuses(calls []crashCall) string {
	counts := make(map[string]int)
	for _, c := range calls {
		counts[strings.TrimSpace(fmt.Sprint(c.status, " ", c.reason))]++
	}
	return fmt.Sprint(counts)
}

// TestFrontStopsRepeatsOfADeadlyRequest guards against a request that crashes targets being sent to more of them each time its
// caller repeats it, whatever happens to the VMs and the store meanwhile.
func TestFrontStopsRepeatsOfADeadlyRequest(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, path string
		// interval is the time between two repeats; crashInterval if zero.
		interval time.Duration
		// firstOnly is how long only the first VM gets the deadly request.
		firstOnly time.Duration
		// maxCrashes is the number of targets that it may crash; crashLimit if zero.
		maxCrashes int
		// addresses is the number of addresses from which the caller sends in turn; one if zero.
		addresses int
		// vms is the number of VMs; three if zero.
		vms int
		// linkDelay is the time that datagrams between VMs take.
		linkDelay time.Duration
		// disturb runs beside the callers from the first deadly request on. If it kills VMs, it breaks the requests that
		// they serve, and callers find them gone until they have started again.
		disturb func(e *crashEnv)
		kills   bool
	}{
		{name: "idempotent", path: "/one/x"},
		{name: "not idempotent", path: "/book/x"},
		// One target of each shard is asked at once. If other requests ran on all of them, one more run tells them apart.
		{name: "fan-out", path: "/search/x", maxCrashes: envShards + 1},
		{name: "rare", path: "/one/x", interval: 1200 * time.Millisecond},
		{name: "VMs are replaced", path: "/one/x", kills: true,
			disturb: func(e *crashEnv) { e.replaceVMs(2 * time.Second) }},
		{name: "all VMs are killed", path: "/book/x", kills: true, disturb: func(e *crashEnv) {
			sleep(2 * time.Second)
			e.killVMs(0, 1, 2)
			sleep(3 * time.Second)
			e.killVMs(0, 1, 2)
		}},
		{name: "store is away, then all VMs are killed", path: "/one/x", kills: true, disturb: func(e *crashEnv) {
			e.storeAway(3 * time.Second)
			sleep(4 * time.Second)
			e.killVMs(0, 1, 2)
		}},
		{name: "VMs are cut off from each other", path: "/book/x", firstOnly: 2500 * time.Millisecond,
			disturb: func(e *crashEnv) { e.cutVMs(8 * time.Second) }},
		{name: "VMs are cut off while the store is away", path: "/one/x", firstOnly: 5 * time.Second, disturb: (*crashEnv).cutVMsWhileStoreAway},
		{name: "eight VMs are cut off while the store is away", path: "/one/x", vms: 8, firstOnly: 5 * time.Second,
			disturb: (*crashEnv).cutVMsWhileStoreAway},
		{name: "caller changes its address", path: "/one/x", addresses: crashAddresses, maxCrashes: crashesBeforeContact},
		{name: "caller changes its address, links are slow", path: "/one/x", addresses: crashAddresses, maxCrashes: crashesBeforeContact,
			linkDelay: 150 * time.Millisecond},
		{name: "caller changes its address, not idempotent", path: "/book/x", addresses: crashAddresses, maxCrashes: crashesBeforeContact},
		// The first two addresses may each crash one target of each shard.
		{name: "caller changes its address, fan-out", path: "/search/x", addresses: crashAddresses, maxCrashes: 2 * envShards},
		{name: "caller changes its address, all VMs are killed", path: "/one/x", addresses: crashAddresses, maxCrashes: crashesBeforeContact, kills: true,
			disturb: func(e *crashEnv) {
				sleep(3 * time.Second)
				e.killVMs(0, 1, 2)
				sleep(3 * time.Second)
				e.killVMs(0, 1, 2)
			}},
		{name: "caller changes its address, VMs are cut off from each other", path: "/book/x", addresses: crashAddresses,
			maxCrashes: crashesBeforeContact, firstOnly: 2500 * time.Millisecond,
			disturb: func(e *crashEnv) { e.cutVMs(8 * time.Second) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			e := newCrashEnv(t, cmp.Or(test.vms, 3))
			e.delayLinks(test.linkDelay)
			e.sendHarmless(test.path)
			e.sendDeadly(test.path, cmp.Or(test.interval, crashInterval), test.firstOnly, e.transportsFrom(test.addresses, e.callerHost)...)
			minServed := crashMinServed
			if test.kills {
				minServed = crashMinServedBesideKills
			}
			if test.disturb != nil {
				e.callers.Go(func() error {
					sleep(crashHeadStart)
					test.disturb(e)
					return nil
				})
			}
			e.checkDeadly(cmp.Or(test.maxCrashes, crashLimit))
			e.checkHarmless(minServed)
		})
	}
}

// TestFrontStopsADeadlyRequestWhoseCallerGivesUp guards against targets that crash after the caller of a request has gone not
// being counted against the request.
func TestFrontStopsADeadlyRequestWhoseCallerGivesUp(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ name, path string }{{"idempotent", "/one/x"}, {"not idempotent", "/book/x"}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const crashAfter, patience = 40 * time.Millisecond, 15 * time.Millisecond
			e := startCrashEnv(t, 3, crashAfter)
			e.sendHarmless(test.path)
			e.sendDeadly(test.path, crashInterval, 0, impatientTransport{e.transport, patience})
			e.checkDeadly(crashesBeforeContact)
			e.checkHarmless(crashMinServed)
		})
	}
}

// TestFrontServesAPopularRequestWhoseTargetsEnd guards against a request being blamed for targets that end by themselves
// while they run it, for one caller or for all that send it.
func TestFrontServesAPopularRequestWhoseTargetsEnd(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		// addresses is the number of addresses from which the callers send in turn; one if zero.
		addresses int
	}{{"one address", 0}, {"many addresses", crashAddresses}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			e := newCrashEnv(t, 3)
			transports := e.transportsFrom(test.addresses, e.callerHost)
			until := time.Now().Add(crashDuration)
			for caller := range 6 {
				e.callers.Go(func() error {
					for i := caller; time.Now().Before(until); i++ {
						e.call(&e.harmless, transports[i%len(transports)], e.vm(i), "/one/x", "popular")
					}
					return nil
				})
			}
			e.callers.Go(func() error {
				for time.Now().Before(until) {
					sleep(700 * time.Millisecond)
					e.services[0].Running()[0].Crash()
				}
				return nil
			})
			e.c.Assert(e.callers.Wait(), qt.IsNil)
			const minServedOfPopular = 0.9
			e.checkHarmless(minServedOfPopular)
			for _, c := range e.harmless {
				e.c.Check(strings.Contains(c.reason, "crashed targets before"), qt.IsFalse)
			}
		})
	}
}
