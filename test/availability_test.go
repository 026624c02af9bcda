package test

import (
	"cmp"
	"fmt"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/platform/cassiastage"
)

// Bounds on what reaches a target, of the platform's rules: none from a VM that has passed on an answer in which the target states
// that it leaves, and from each VM availabilityRepeats between availabilityGrace after a refusal with a Retry-After and the end of
// that time.
const (
	availabilityRepeats = 2
	availabilityGrace   = 500 * time.Millisecond
	// leavingFirstRequests is how many requests each of three VMs may have at a target with two slots before it has its first answer.
	leavingFirstRequests = 3
	// leavingSettleTime is the time between the first answers of targets that leave and a disturbance.
	leavingSettleTime = time.Second
)

// behave gives targets a behaviour, and returns when they have it.
func behave(b cassiastage.Behaviour, targets ...*cassiastage.Target) time.Time {
	b.Work = 20 * time.Millisecond
	for _, target := range targets {
		target.SetBehaviour(b)
	}
	return time.Now()
}

// arrivalsBetween counts the requests that reached a target in a period.
func arrivalsBetween(target *cassiastage.Target, from, to time.Time) int {
	n := 0
	for _, a := range target.Arrivals() {
		if a.At.After(from) && a.At.Before(to) {
			n++
		}
	}
	return n
}

// TestFrontSendsNothingToTargetsThatLeave guards against requests to a target that states in its answers that it leaves, while its
// registration does not say so.
func TestFrontSendsNothingToTargetsThatLeave(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, path string
		// leaving is how many targets of each service leave, each how many of their answers there are to one that states it.
		leaving, each int
		minServed     float64
		// disturb runs once the targets leave.
		disturb func(e *crashEnv)
		// duration is how long callers send requests; 8 s if zero.
		duration time.Duration
	}{
		{name: "idempotent", path: "/one/x", leaving: 2, minServed: crashMinServed},
		{name: "not idempotent", path: "/book/x", leaving: 2, minServed: crashMinServed},
		{name: "said in one answer out of five", path: "/one/x", leaving: 2, each: 5, minServed: crashMinServed},
		{name: "fan-out", path: "/search/x", leaving: 1, minServed: crashMinServed},
		{name: "all targets", path: "/one/x", leaving: 12},
		{name: "store comes back from an older copy", path: "/one/x", leaving: 2, minServed: crashMinServed,
			disturb: func(e *crashEnv) {
				e.store.Copy()
				sleep(time.Second)
				e.store.Restore()
				e.storeAway(2 * time.Second)
			}},
		{name: "VMs are stopped for a while", path: "/one/x", leaving: 2, duration: 12 * time.Second, disturb: func(e *crashEnv) {
			for i := range 3 {
				e.vm(i).process.signal(syscall.SIGSTOP)
				sleep(2 * time.Second)
				e.vm(i).process.signal(syscall.SIGCONT)
			}
		}},
		{name: "VMs are killed", path: "/one/x", leaving: 2, minServed: crashMinServedBesideKills, duration: 12 * time.Second, disturb: func(e *crashEnv) {
			for i := range 3 {
				sleep(2 * time.Second)
				e.killVMs(i)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			e := newCrashEnv(t, 3)
			services := e.services[:1]
			if test.path == "/search/x" {
				services = e.services[1:]
			}
			var leaving []*cassiastage.Target
			for _, service := range services {
				leaving = append(leaving, service.Running()[:test.leaving]...)
			}
			e.callDuring(cmp.Or(test.duration, 8*time.Second), test.path, evenly)
			sleep(limitHeadStart)
			since := behave(cassiastage.Behaviour{Leaving: true, LeavingEach: test.each}, leaving...)
			if test.disturb != nil {
				e.callers.Go(func() error { sleep(leavingSettleTime); test.disturb(e); return nil })
			}
			e.c.Assert(e.callers.Wait(), qt.IsNil)
			for _, target := range leaving {
				late, bound := e.arrivalsAfterLeaving(target), 0
				if test.path == "/search/x" {
					// Another VM may have sent a shard's request.
					late, bound = arrivalsBetween(target, since, time.Now()), len(e.vms)*leavingFirstRequests
				}
				seen := fmt.Sprintf("%s got %d requests of VMs that had passed on that it leaves, %d are allowed", target.Name, late, bound)
				t.Log(seen)
				e.c.Check(late <= bound, qt.IsTrue, qt.Commentf("%s", seen))
			}
			e.checkHarmless(test.minServed)
			if test.disturb == nil {
				e.checkRefusals()
			}
		})
	}
}

// arrivalsAfterLeaving returns how many requests reached a target from VMs that had passed on, availabilityGrace before, an answer in which
// it stated that it leaves. Requests count for the VM that their callers sent them to.
func (e *crashEnv) arrivalsAfterLeaving(target *cassiastage.Target) int {
	calls, passedOn := make(map[string]crashCall), make(map[*frontVM]time.Time)
	stated := target.StatedLeaving()
	for _, c := range e.harmless {
		calls[c.id] = c
		if answered := c.at.Add(c.took); stated[c.id] && c.served() && (passedOn[c.vm].IsZero() || answered.Before(passedOn[c.vm])) {
			passedOn[c.vm] = answered
		}
	}
	late := 0
	for _, a := range target.Arrivals() {
		if heard := passedOn[calls[a.Request].vm]; !heard.IsZero() && a.At.After(heard.Add(availabilityGrace)) {
			late++
		}
	}
	return late
}

// TestFrontSendsNothingToTargetsThatPause guards against requests to targets that have refused one and named a time during which they
// want none, and against callers who pay more for that than they have to.
func TestFrontSendsNothingToTargetsThatPause(t *testing.T) {
	t.Parallel()
	const pause = 3 * time.Second
	for _, test := range []struct {
		name, path string
		// busy is how many targets of each service refuse requests, each how many requests there are to one that they refuse.
		busy, each int
		minServed  float64
		// recovered is the share of the requests that has to be answered after the targets have ended to refuse them.
		recovered float64
	}{
		{name: "other targets have room", path: "/one/x", busy: 2, minServed: crashMinServed},
		{name: "one request out of three", path: "/one/x", busy: 2, each: 3, minServed: crashMinServed},
		{name: "all targets", path: "/one/x", busy: 12, recovered: crashMinServed},
		{name: "all targets, not idempotent", path: "/book/x", busy: 12, recovered: crashMinServed},
		{name: "one shard target of a fan-out", path: "/search/x", busy: 1, minServed: crashMinServed},
		{name: "all targets of a fan-out", path: "/search/x", busy: 3, recovered: crashMinServed},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const vms = 3
			e := newCrashEnv(t, vms)
			services := e.services[:1]
			if test.path == "/search/x" {
				services = e.services[1:]
			}
			var busy []*cassiastage.Target
			for _, service := range services {
				busy = append(busy, service.Running()[:test.busy]...)
			}
			e.callDuring(15*time.Second, test.path, evenly)
			sleep(limitHeadStart)
			behave(cassiastage.Behaviour{Busy: fmt.Sprint(pause.Seconds()), BusyEach: test.each}, busy...)
			sleep(6 * time.Second)
			ended := behave(cassiastage.Behaviour{}, busy...)
			e.c.Assert(e.callers.Wait(), qt.IsNil)
			for _, target := range busy {
				worst, bound := e.worstInPause(target, pause), availabilityRepeats
				if test.path == "/search/x" {
					// Another VM may have sent a shard's request.
					bound *= vms
				}
				seen := fmt.Sprintf("%s got %d requests of a VM within a pause that it had asked for, of %d pauses", target.Name, worst, len(target.TurnedAway()))
				t.Log(seen)
				e.c.Check(worst <= bound, qt.IsTrue, qt.Commentf("%s", seen))
			}
			e.checkHarmless(test.minServed)
			e.checkRefusals()
			served, sent := 0, 0
			for _, c := range e.harmless {
				if c.at.After(ended.Add(pause + time.Second)) {
					sent++
					if c.served() {
						served++
					}
				}
			}
			seen := fmt.Sprintf("%d of %d requests were answered after the last pause", served, sent)
			t.Log(seen)
			e.c.Check(float64(served) >= test.recovered*float64(sent), qt.IsTrue, qt.Commentf("%s", seen))
		})
	}
}

// worstInPause returns the most requests of one VM that reached a target between availabilityGrace after a refusal of one of its requests
// and the end of the pause that the target asked for. Requests count for the VM that their callers sent them to.
func (e *crashEnv) worstInPause(target *cassiastage.Target, pause time.Duration) int {
	sender := make(map[string]*frontVM)
	for _, c := range e.harmless {
		sender[c.id] = c.vm
	}
	arrivals := make(map[*frontVM][]time.Time)
	for _, a := range target.Arrivals() {
		arrivals[sender[a.Request]] = append(arrivals[sender[a.Request]], a.At)
	}
	worst := 0
	for _, refused := range target.TurnedAway() {
		worst = max(worst, countBetween(arrivals[sender[refused.Request]], refused.At.Add(availabilityGrace), refused.At.Add(pause)))
	}
	return worst
}

// TestFrontIgnoresPausesThatAreNoTimes guards against a target that takes itself out of use by a malformed Retry-After.
func TestFrontIgnoresPausesThatAreNoTimes(t *testing.T) {
	t.Parallel()
	e := newCrashEnv(t, 3)
	targets := e.services[0].Running()
	for i, target := range targets {
		behave(cassiastage.Behaviour{Busy: []string{"-1", "NaN", "soon", "1e400", "Fri, 04 Dec 2026 16:00:00 GMT"}[i%5], BusyEach: 10}, target)
	}
	e.callDuring(6*time.Second, "/one/x", evenly)
	e.c.Assert(e.callers.Wait(), qt.IsNil)
	for _, target := range targets {
		e.c.Check(len(target.Arrivals()) > 10, qt.IsTrue, qt.Commentf("%s got %d requests", target.Name, len(target.Arrivals())))
	}
	e.checkHarmless(0.95)
}
