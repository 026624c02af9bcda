package test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/platform/cassiastage"
)

// limitBounds is what a target bears that names the rate of requests that it accepts: from borneAfter after it first did, in any
// borneWindow at most borneFactor times what the rate allows, and borneRequests.
type limitBounds struct {
	borneAfter, borneWindow time.Duration
	borneFactor             float64
	borneRequests           int
}

var envLimits = limitBounds{borneAfter: 4 * time.Second, borneWindow: 4 * time.Second, borneFactor: 1.5, borneRequests: 5}

// worstExcess returns by how many requests a target got more than it bears in its worst window, and when that began. The excess is
// negative if it never did.
func (b limitBounds) worstExcess(rate float64, arrivals []cassiastage.Arrival, named, lifted time.Time) (float64, time.Time) {
	borne := b.borneFactor*rate*b.borneWindow.Seconds() + float64(b.borneRequests)
	worst, at := -borne, time.Time{}
	for i, first := range arrivals {
		if first.At.Before(named.Add(b.borneAfter)) {
			continue
		}
		n := 0
		for _, a := range arrivals[i:] {
			if a.At.Before(first.At.Add(b.borneWindow)) && a.At.Before(lifted) {
				n++
			}
		}
		if over := float64(n) - borne; over > worst {
			worst, at = over, first.At
		}
	}
	return worst, at
}

// limitFor is how long callers send requests in TestFrontKeepsToTheRateOfTargets. Targets name their limits after limitHeadStart.
const (
	limitFor       = 18 * time.Second
	limitHeadStart = 2 * time.Second
)

// nameLimit has the targets name a rate, and returns when they began to.
func nameLimit(rate string, targets ...*cassiastage.Target) time.Time {
	for _, target := range targets {
		target.SetBehaviour(cassiastage.Behaviour{Work: 20 * time.Millisecond, Limit: rate})
	}
	return time.Now()
}

// callFor is callDuring for limitFor.
func (e *crashEnv) callFor(path string, vmOf func(caller, i int) int) {
	e.callDuring(limitFor, path, vmOf)
}

// callDuring has six callers send harmless requests for a time to the VMs that vmOf returns, whether they are answered or refused.
func (e *crashEnv) callDuring(d time.Duration, path string, vmOf func(caller, i int) int) {
	const pause = 10 * time.Millisecond
	until := time.Now().Add(d)
	for caller := range 6 {
		e.callers.Go(func() error {
			for i := 0; time.Now().Before(until); i++ {
				e.call(&e.harmless, e.transport, e.vm(vmOf(caller, i)), path, fmt.Sprintf("harmless %d %d", caller, i))
				sleep(pause)
			}
			return nil
		})
	}
}

func evenly(caller, i int) int { return caller + i }

// mostlyFirst is for callers of whom nine in ten are at the first VM.
func mostlyFirst(_, i int) int {
	if i%10 > 0 {
		return 0
	}
	return 1 + i/10%2
}

// checkRefusals requires that refusals say when to come back, and that callers did not wait for them: a refusal takes less than
// refusalTime.
func (e *crashEnv) checkRefusals() {
	e.c.Helper()
	const refusalTime = 500 * time.Millisecond
	late, silent, refused := 0, 0, 0
	var longest float64
	for _, c := range e.harmless {
		if c.err != nil || c.status != http.StatusServiceUnavailable {
			continue
		}
		refused++
		if c.took > refusalTime {
			late++
		}
		after, err := strconv.ParseFloat(c.retry, 64)
		if err != nil || after <= 0 {
			silent++
		}
		longest = max(longest, after)
	}
	seen := fmt.Sprintf("%d refusals, %d after %v, %d without Retry-After; the longest Retry-After was %.2f s", refused, late, refusalTime, silent, longest)
	e.t.Log(seen)
	e.c.Check(late+silent, qt.Equals, 0, qt.Commentf("%s", seen))
}

// TestFrontKeepsToTheRateOfTargets guards against targets that get more requests from all VMs together than the rate that they name
// allows, and against callers who pay more for that than they have to.
func TestFrontKeepsToTheRateOfTargets(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, path, rate string
		// limited is how many targets of each service that the path asks name the rate, and services how many of these services
		// have such targets.
		limited, services int
		vmOf              func(caller, i int) int
		// minServed is the share of the requests that has to be answered, minRate how many of them per second at least.
		minServed, minRate float64
		disturb            func(e *crashEnv)
	}{
		{name: "other targets have room", path: "/one/x", rate: "1", limited: 8, services: 1, minServed: 0.99},
		{name: "all targets, rate of 1", path: "/one/x", rate: "1", limited: 12, services: 1, minRate: 7},
		{name: "all targets, rate of 1.4, callers mostly at one VM", path: "/one/x", rate: "1.4", limited: 12, services: 1, vmOf: mostlyFirst, minRate: 5},
		{name: "all targets, rate of 8, not idempotent", path: "/book/x", rate: "8", limited: 12, services: 1, minRate: 60},
		{name: "rate of 0", path: "/one/x", rate: "0", limited: 12, services: 1},
		{name: "one shard of a fan-out", path: "/search/x", rate: "2", limited: 3, services: 1, minServed: 0.99},
		{name: "all shards of a fan-out", path: "/search/x", rate: "6", limited: 3, services: envShards, minRate: 8},
		{name: "VMs are replaced", path: "/one/x", rate: "3", limited: 12, services: 1,
			disturb: func(e *crashEnv) { e.replaceVMs(1500 * time.Millisecond) }},
		{name: "VMs are replaced, fan-out", path: "/search/x", rate: "4", limited: 3, services: envShards,
			disturb: func(e *crashEnv) { e.replaceVMs(1500 * time.Millisecond) }},
		{name: "all VMs are killed", path: "/one/x", rate: "3", limited: 12, services: 1, disturb: func(e *crashEnv) {
			for range 3 {
				sleep(4 * time.Second)
				e.killVMs(0, 1, 2)
			}
		}},
		{name: "VMs are cut off from each other and from the store", path: "/search/x", rate: "3", limited: 3, services: envShards,
			disturb: func(e *crashEnv) {
				sleep(limitHeadStart)
				var store errgroup.Group
				store.Go(func() error { e.storeAway(8 * time.Second); return nil })
				e.cutVMs(8 * time.Second)
				store.Wait() //nolint:errcheck // it returns no error
			}},
		{name: "a VM joins", path: "/one/x", rate: "2", limited: 12, services: 1, disturb: func(e *crashEnv) {
			sleep(6 * time.Second)
			e.joinVM()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			e := newCrashEnv(t, 3)
			vmOf := test.vmOf
			if vmOf == nil {
				vmOf = evenly
			}
			services := e.services[:1]
			if test.path == "/search/x" {
				services = e.services[1 : 1+test.services]
			}
			var limited []*cassiastage.Target
			for _, service := range services {
				limited = append(limited, service.Running()[:test.limited]...)
			}
			e.callFor(test.path, vmOf)
			sleep(limitHeadStart)
			named := nameLimit(test.rate, limited...)
			if test.disturb != nil {
				e.callers.Go(func() error { test.disturb(e); return nil })
			}
			e.c.Assert(e.callers.Wait(), qt.IsNil)
			rate, err := strconv.ParseFloat(test.rate, 64)
			e.c.Assert(err, qt.IsNil)
			for _, target := range limited {
				over, at := envLimits.worstExcess(rate, target.Arrivals(), named, time.Now())
				seen := fmt.Sprintf("%s: %+.1f requests over what it bears, from %v on", target.Name, over, at.Sub(named))
				t.Log(seen)
				e.c.Check(over <= 0, qt.IsTrue, qt.Commentf("%s", seen))
			}
			e.checkHarmless(test.minServed)
			if test.disturb == nil {
				e.checkRefusals()
			}
			e.checkServedRate(named.Add(envLimits.borneAfter), test.minRate)
		})
	}
}

// checkServedRate requires that at least a number of harmless requests per second was answered from a time on.
func (e *crashEnv) checkServedRate(from time.Time, minimum float64) {
	e.c.Helper()
	served := 0
	var last time.Time
	for _, c := range e.harmless {
		if c.at.After(from) && c.served() {
			served++
		}
		if c.at.After(last) {
			last = c.at
		}
	}
	rate := float64(served) / last.Sub(from).Seconds()
	seen := fmt.Sprintf("%.1f harmless requests a second were answered from %v after the start on", rate, from.Sub(e.start).Round(time.Millisecond))
	e.t.Log(seen)
	e.c.Check(rate >= minimum, qt.IsTrue, qt.Commentf("%s, at least %.1f are wanted", seen, minimum))
}

// joinVM starts one more VM, which callers use at once.
func (e *crashEnv) joinVM() {
	i := len(e.relays)
	e.addRelay(i)
	vm := e.launchVM(i)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.vms = append(e.vms, vm)
}

// TestFrontUsesTargetsAgainThatLiftTheirLimit guards against limits that outlast what targets state, and against a rush at their end.
func TestFrontUsesTargetsAgainThatLiftTheirLimit(t *testing.T) {
	t.Parallel()
	e := newCrashEnv(t, 3)
	targets := e.services[0].Running()
	e.callFor("/one/x", evenly)
	sleep(limitHeadStart)
	nameLimit("2", targets...)
	sleep(6 * time.Second)
	lifted := nameLimit("", targets...)
	e.c.Assert(e.callers.Wait(), qt.IsNil)
	firstSecond, served, sent := 0, 0, 0
	for _, target := range targets {
		for _, a := range target.Arrivals() {
			if a.At.After(lifted) && a.At.Before(lifted.Add(time.Second)) {
				firstSecond++
			}
		}
	}
	const rampTime = 5 * time.Second
	for _, c := range e.harmless {
		if c.at.After(lifted.Add(rampTime)) {
			sent++
			if c.served() {
				served++
			}
		}
	}
	seen := fmt.Sprintf("%d requests reached %d targets in the first second; %d of %d requests were answered from %v after it on", firstSecond, len(targets),
		served, sent, rampTime)
	t.Log(seen)
	e.c.Check(served >= sent*99/100, qt.IsTrue, qt.Commentf("%s", seen))
	// Four times the rate of 2 for each target.
	e.c.Check(firstSecond <= 8*len(targets), qt.IsTrue, qt.Commentf("%s", seen))
}

// TestFrontIgnoresLimitsThatAreNoRates guards against a target that takes itself out of use, or drops its limit, by a malformed one.
func TestFrontIgnoresLimitsThatAreNoRates(t *testing.T) {
	t.Parallel()
	e := newCrashEnv(t, 3)
	for i, target := range e.services[0].Running() {
		nameLimit([]string{"-1", "NaN", "many", "1e400", "99999999999999999999"}[i%5], target)
	}
	e.callFor("/one/x", evenly)
	e.c.Assert(e.callers.Wait(), qt.IsNil)
	e.checkHarmless(crashMinServed)
	e.c.Check(slices.ContainsFunc(e.vms, func(vm *frontVM) bool {
		return strings.Contains(vm.process.output.String(), "event=targetLimitMalformed")
	}), qt.IsTrue)
}

// TestServeKeepsToTheRateOfTargets guards against the same in cassiasaddle serve, where a target has several owners: more requests
// than a target bears, and fan-outs that fail for a shard that they need not have.
func TestServeKeepsToTheRateOfTargets(t *testing.T) {
	const rate = 2
	c := qt.New(t)
	front := newFront("search", 4, twoZones)
	cl := startCluster(t, layout{zones: twoZones, vmsPerZone: 2, fronts: []*cassiaschema.Front{front}, behaviour: `{"workMs":5}`})
	for _, target := range front.Shards[0].Targets {
		cl.setBehaviour(target.Name, fmt.Sprintf(`{"acceptedRate":%d}`, rate))
	}
	named := time.Now()
	const callFor = 14 * time.Second
	var callers errgroup.Group
	var answered, failed atomic.Int64
	for caller := range 6 {
		callers.Go(func() error {
			for i := caller; time.Since(named) < callFor; i++ {
				// The last VM is killed meanwhile.
				a, err := tryQuery(cl.vms[i%(len(cl.vms)-1)], "search", fmt.Sprintf(`{"caller":%d,"n":%d}`, caller, i))
				if err == nil && a.Status == http.StatusOK && a.Coverage.Answered >= len(front.Shards)-1 {
					answered.Add(1)
				} else {
					failed.Add(1)
				}
				sleep(20 * time.Millisecond)
			}
			return nil
		})
	}
	sleep(callFor / 2)
	cl.vms[len(cl.vms)-1].process.signal(syscall.SIGKILL)
	c.Assert(callers.Wait(), qt.IsNil)
	arrivals := make(map[string][]cassiastage.Arrival)
	for _, e := range cl.executions() {
		arrivals[e.Target] = append(arrivals[e.Target], cassiastage.Arrival{At: time.UnixMicro(e.ArrivedUnixMicros)})
	}
	for _, target := range front.Shards[0].Targets {
		over, at := envLimits.worstExcess(rate, arrivals[target.Name], named, time.Now())
		seen := fmt.Sprintf("%s: %+.1f requests over what it bears, from %v on; %d in all", target.Name, over, at.Sub(named), len(arrivals[target.Name]))
		t.Log(seen)
		c.Check(over <= 0, qt.IsTrue, qt.Commentf("%s", seen))
	}
	t.Logf("%d queries were answered from %d shards or more, %d were not", answered.Load(), len(front.Shards)-1, failed.Load())
	c.Check(float64(answered.Load()) >= 0.95*float64(answered.Load()+failed.Load()), qt.IsTrue)
}
