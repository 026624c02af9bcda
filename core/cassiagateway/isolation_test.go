package cassiagateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cassiasaddle/core/cassiaavailability"
	"cassiasaddle/core/cassiacatalog"
)

const (
	// cutDetectionLimit is the time within which VMs have to be served by others after a cut has begun.
	cutDetectionLimit = 4 * time.Second
	// minCutServedShare is the least share of requests that VMs without targets serve, compared with the others.
	minCutServedShare = 2.0 / 3
)

// newCutSimulation returns a simulation of VMs that know each other, with routes to all shards and to the first of them.
func newCutSimulation(vms int) (sim *simulation, search, booking simulatedRoute) {
	sim = newSimulation(vms, 20)
	var list []VM
	for _, v := range sim.vms {
		list = append(list, VM{Name: v.name, Zone: v.zone, Cores: 0.4})
	}
	for _, v := range sim.vms {
		v.update(FleetChanged{VMs: list})
	}
	search = simulatedRoute{sim.fanOut(120*time.Millisecond, 0.89), 11 * time.Millisecond}
	booking = simulatedRoute{&cassiacatalog.Route{Name: "booking", Timeout: 4 * time.Second, DesiredLatency: 400 * time.Millisecond, MaxAttempts: 2,
		Split: []cassiacatalog.WeightedService{{Service: serviceName(0), Weight: 1}}}, 20 * time.Millisecond}
	return sim, search, booking
}

// loadEach sends requests to each VM and returns the share that was served at VMs that are cut off and at the others.
func (sim *simulation) loadEach(length time.Duration, routes ...simulatedRoute) (atCut, atOthers float64) {
	round := fmt.Sprint(sim.now.UnixNano())
	names := map[bool]string{true: round + " cut", false: round + " others"}
	for _, v := range sim.vms {
		for _, r := range routes {
			for at := time.Duration(0); at < length; at += 200 * time.Millisecond {
				sim.after(at+time.Duration(sim.random.Float64()*float64(200*time.Millisecond)), func() {
					v.ask(r, names[v.cut != ""], time.Second)
				})
			}
		}
	}
	sim.runFor(length + 2*time.Second)
	served := func(name string) float64 {
		r := sim.results[name]
		if r == nil {
			return 1
		}
		return float64(r.onTime+r.late) / float64(r.asked)
	}
	return served(names[true]), served(names[false])
}

// TestVMsWithoutTargetsHaveOthersServeTheirCallers guards against VMs that refuse their callers while other VMs, which they reach, could
// serve them.
func TestVMsWithoutTargetsHaveOthersServeTheirCallers(t *testing.T) {
	cuts := map[string]func(i int, v *simulatedVM) bool{
		"a zone":   func(_ int, v *simulatedVM) bool { return v.zone == "a" },
		"most VMs": func(i int, _ *simulatedVM) bool { return i%5 < 3 },
		"one VM":   func(i int, _ *simulatedVM) bool { return i == 4 },
	}
	for name, isCut := range cuts {
		for _, way := range []targetCut{cutRefused, cutSilent, cutAccepted} {
			t.Run(fmt.Sprintf("%s, %s", name, way), func(t *testing.T) {
				c := qt.New(t)
				sim, search, booking := newCutSimulation(10)
				sim.loadEach(3*time.Second, search, booking)
				for i, v := range sim.vms {
					if isCut(i, v) {
						v.cut = way
					}
				}
				sim.loadEach(cutDetectionLimit-2*time.Second, search, booking)
				atCut, atOthers := sim.loadEach(5*time.Second, search, booking)
				t.Logf("served at VMs without targets %.3f, at others %.3f", atCut, atOthers)
				c.Check(atCut >= minCutServedShare*atOthers, qt.IsTrue, qt.Commentf("%.3f of the requests at VMs without targets, %.3f at others", atCut, atOthers))
				for _, v := range sim.vms {
					c.Check(v.gateway.CanServe(), qt.Equals, v.cut == "")
					v.cut = ""
				}
				sim.runFor(maxEjection + time.Second)
				for _, v := range sim.vms {
					c.Check(v.gateway.CanServe(), qt.IsTrue)
				}
				forwardsBefore := sim.forwards()
				_, served := sim.loadEach(3*time.Second, search, booking)
				c.Check(sim.forwards(), qt.Equals, forwardsBefore, qt.Commentf("queries that are passed on after the cut"))
				c.Check(served > 0.95, qt.IsTrue, qt.Commentf("%.3f served after the cut", served))
				sim.checkSingleRuns(c, booking)
			})
		}
	}
}

// TestVMsCutOffFromAZoneServeByTheOthers guards against VMs that send to targets again and again because connections to them are accepted,
// and against VMs that take themselves out of use though they reach half of the targets.
func TestVMsCutOffFromAZoneServeByTheOthers(t *testing.T) {
	for _, way := range []targetCut{cutRefused, cutSilent, cutAccepted} {
		t.Run(string(way), func(t *testing.T) {
			c := qt.New(t)
			sim, search, booking := newCutSimulation(10)
			sim.loadEach(3*time.Second, search, booking)
			for i, v := range sim.vms {
				if i%5 < 2 {
					v.cut, v.cutFrom = way, "a"
				}
			}
			sim.loadEach(cutDetectionLimit-2*time.Second, search, booking)
			atCut, atOthers := sim.loadEach(5*time.Second, search, booking)
			t.Logf("served at VMs without the targets of a zone %.3f, at others %.3f", atCut, atOthers)
			c.Check(atCut >= 0.95*atOthers, qt.IsTrue, qt.Commentf("%.3f of the requests at VMs without the targets of a zone, %.3f at others", atCut, atOthers))
			c.Check(sim.forwards(), qt.Equals, 0)
			sim.checkSingleRuns(c, booking)
		})
	}
}

// forwards returns how many queries VMs have passed on.
func (sim *simulation) forwards() int {
	n := 0
	for _, v := range sim.vms {
		n += len(v.forwards)
	}
	return n
}

// checkSingleRuns checks that no request of a route ran more than once.
func (sim *simulation) checkSingleRuns(c *qt.C, r simulatedRoute) {
	for request, runs := range sim.runs {
		if sim.vm(request.vm).routes[request.query].route == r.route && runs > 1 {
			c.Errorf("a request that is not idempotent ran %d times", runs)
		}
	}
}

// TestQueriesAreRefusedAtOnceWhenNoVMReachesTargets guards against queries that are passed around until their deadline.
func TestQueriesAreRefusedAtOnceWhenNoVMReachesTargets(t *testing.T) {
	c := qt.New(t)
	sim, search, booking := newCutSimulation(10)
	sim.loadEach(3*time.Second, search, booking)
	for _, v := range sim.vms {
		v.cut = cutRefused
	}
	sim.loadEach(cutDetectionLimit, search, booking)
	for _, v := range sim.vms {
		asked := sim.now
		answered := false
		v.ask(search, "last", time.Second)
		id := v.lastQuery
		if callback := v.callbacks[id]; callback != nil {
			v.callbacks[id] = func(a Answer) {
				callback(a)
				answered = true
				c.Check(a.Refusal != nil && a.Refusal.NotRun, qt.IsTrue)
				c.Check(sim.now.Sub(asked) <= 2*maxForwards*crossZoneDelay, qt.IsTrue, qt.Commentf("refused after %v", sim.now.Sub(asked)))
			}
			sim.runFor(2 * time.Second)
			c.Check(answered, qt.IsTrue)
		}
	}
}

// TestTargetsThatFailDoNotIsolateAVM guards against a VM that takes itself out of use, and has others send for it, because some targets are
// out of reach for all VMs.
func TestTargetsThatFailDoNotIsolateAVM(t *testing.T) {
	c := qt.New(t)
	sim, search, booking := newCutSimulation(10)
	sim.loadEach(3*time.Second, search, booking)
	for s := range 10 {
		sim.targets[targetName(2*s, s%2)].unresponsive = true
	}
	sim.loadEach(5*time.Second, search, booking)
	for _, v := range sim.vms {
		c.Check(v.gateway.CanServe(), qt.IsTrue)
	}
	c.Check(sim.forwards(), qt.Equals, 0)
}

// TestVMThatOpensNoConnectionPassesOnWhatItCannotServe guards against a VM that refuses its callers, since it reaches the targets of too few
// shards, while its open connections to others still bring answers, so that it is not isolated.
func TestVMThatOpensNoConnectionPassesOnWhatItCannotServe(t *testing.T) {
	for _, reached := range []bool{false, true} {
		c := qt.New(t)
		sim, search, booking := newCutSimulation(3)
		g := sim.vms[0].gateway
		for shard := range 5 {
			for replica := range 2 {
				target := g.targets[targetName(shard, replica)]
				target.ejections, target.ejectedUntil = 1, sim.now.Add(time.Minute)
				g.watch(target)
			}
		}
		arrived := func(id QueryID, route *cassiacatalog.Route) []Effect {
			return g.Update(Arrived{Query: id, Route: route, Deadline: sim.now.Add(time.Second)})
		}
		effects := arrived(1, search.route)
		c.Check(effectsOf[Forward](effects), qt.HasLen, 0, qt.Commentf("before the links are known to be at fault"))
		probes := effectsOf[Probe](effects)
		c.Assert(probes, qt.HasLen, isolationSample)
		sim.now = sim.now.Add(time.Millisecond)
		g.targetHeard(sim.now)
		for _, probe := range probes {
			g.Update(ProbeEnded{Target: probe.Target, Reached: reached})
		}
		c.Check(g.Isolated(), qt.IsFalse)
		for id, route := range []*cassiacatalog.Route{search.route, booking.route} {
			effects = arrived(QueryID(2+id), route)
			c.Check(len(effectsOf[Forward](effects)) == 1, qt.Equals, !reached)
			c.Check(len(effectsOf[Finish](effects)) == 0 || reached, qt.IsTrue)
		}
	}
}

// TestConnectionToAnAggregatorThatRepliesStaysOpen guards against a VM that closes the connection on which it serves the queries of an isolated
// one, since that one replied that it sends no attempts. Such a query would end as if its VM were lost.
func TestConnectionToAnAggregatorThatRepliesStaysOpen(t *testing.T) {
	for _, test := range []struct {
		outcome Outcome
		dropped int
	}{{OutcomeTargetUnknown, 0}, {OutcomeAggregatorLost, 1}} {
		c := qt.New(t)
		clock := clockwork.NewFakeClock()
		g, route := remoteShards(clock, 2)
		sent := effectsOf[Send](g.Update(Arrived{Query: 1, Route: route, Deadline: clock.Now().Add(time.Second)}))
		c.Assert(sent, qt.HasLen, 2)
		effects := g.Update(AttemptEnded{Attempt: sent[0].Attempt, Outcome: test.outcome})
		backedOff := effectsOf[ViewChanged](effects)
		c.Assert(backedOff, qt.HasLen, 1)
		c.Check(backedOff[0].Event, qt.Equals, EventAggregatorBackedOff)
		c.Check(effectsOf[DropAggregator](effects), qt.HasLen, test.dropped)
	}
}

// TestQueryIsNotPassedOnTwice guards against loops of VMs that pass the same query on.
func TestQueryIsNotPassedOnTwice(t *testing.T) {
	c := qt.New(t)
	sim, search, _ := newCutSimulation(3)
	v := sim.vms[0]
	v.gateway.isolation.isolated = true
	effects := v.gateway.Update(Arrived{Query: 1, Route: search.route, Deadline: sim.now.Add(time.Second), ForOther: true})
	c.Check(effectsOf[Forward](effects), qt.HasLen, 0)
	finished := effectsOf[Finish](effects)
	c.Assert(finished, qt.HasLen, 1)
	c.Check(finished[0].Answer.Refusal.Reason, qt.Equals, RefusalIsolated)
	c.Check(finished[0].Answer.Refusal.NotRun, qt.IsTrue)
}

// TestQueryIsTakenBackFromAVMThatDoesNotAccept guards against queries that wait until their deadline for a VM that is lost, and against
// a second run of one that the VM may have got.
func TestQueryIsTakenBackFromAVMThatDoesNotAccept(t *testing.T) {
	for _, outcome := range []ForwardOutcome{ForwardDeclined, ForwardLost} {
		c := qt.New(t)
		sim, search, _ := newCutSimulation(3)
		g := sim.vms[0].gateway
		g.isolation.isolated = true
		sent := effectsOf[Forward](g.Update(Arrived{Query: 1, Route: search.route, Deadline: sim.now.Add(time.Second)}))
		c.Assert(sent, qt.HasLen, 1)
		sim.now = sim.now.Add(forwardAcceptTimeout)
		c.Assert(effectsOf[CancelForward](g.Update(Tick{})), qt.HasLen, 1)
		effects := g.Update(ForwardEnded{Query: 1, VM: sent[0].VM, Outcome: outcome})
		if outcome == ForwardDeclined {
			next := effectsOf[Forward](effects)
			c.Assert(next, qt.HasLen, 1)
			c.Check(next[0].VM, qt.Not(qt.Equals), sent[0].VM)
			continue
		}
		refusal := effectsOf[Finish](effects)[0].Answer.Refusal
		c.Check(refusal.NotRun, qt.IsFalse)
	}
}

// TestStatementsOfTargetsGoWithForwardedQueries guards against a VM that passes on a target's statement that it leaves or wants no requests, in
// an answer that another VM got, and sends to that target later, or has another VM do so.
func TestStatementsOfTargetsGoWithForwardedQueries(t *testing.T) {
	c := qt.New(t)
	sim, _, booking := newCutSimulation(3)
	g := sim.vms[0].gateway
	g.isolation.isolated = true
	sent := effectsOf[Forward](g.Update(Arrived{Query: 1, Route: booking.route, Deadline: sim.now.Add(time.Second)}))
	c.Assert(sent, qt.HasLen, 1)
	leaving, paused := g.targets[targetName(0, 0)], g.targets[targetName(0, 1)]
	stated := []TargetStatement{{Process: leaving.process(), Statement: cassiaavailability.Statement{Leaving: true}},
		{Process: paused.process(), Statement: cassiaavailability.Statement{Pause: time.Second}}}
	g.Update(ForwardEnded{Query: 1, VM: sent[0].VM, Outcome: ForwardAnswered, Reply: &Reply{Status: 200}, Statements: stated})
	c.Check(leaving.usable(), qt.IsFalse)
	c.Check(paused.pause(sim.now), qt.Equals, time.Second)
	sent = effectsOf[Forward](g.Update(Arrived{Query: 2, Route: booking.route, Deadline: sim.now.Add(time.Second)}))
	c.Check(sent[0].Statements, qt.DeepEquals, stated, qt.Commentf("the other VM is not told"))
	other := sim.vms[1].gateway
	for _, s := range sent[0].Statements {
		other.Update(TargetStated{s})
	}
	c.Check(other.targets[leaving.Name].leaving, qt.IsTrue)
	c.Check(other.targets[paused.Name].pause(sim.now), qt.Equals, time.Second)
}

// TestStatementsAreReturnedWithTheAnswer guards against statements that only the VM that serves a forwarded query learns of.
func TestStatementsAreReturnedWithTheAnswer(t *testing.T) {
	c := qt.New(t)
	sim, _, booking := newCutSimulation(3)
	g := sim.vms[0].gateway
	sent := effectsOf[Send](g.Update(Arrived{Query: 1, Route: booking.route, Deadline: sim.now.Add(time.Second), ForOther: true}))
	c.Assert(sent, qt.HasLen, 1)
	statement := cassiaavailability.Statement{Leaving: true}
	finished := effectsOf[Finish](g.Update(AttemptEnded{Attempt: sent[0].Attempt, Outcome: OutcomeAnswered, Reply: &Reply{Status: 200}, Statement: statement}))
	c.Assert(finished, qt.HasLen, 1)
	c.Check(finished[0].Answer.Statements, qt.DeepEquals, []TargetStatement{{Process: g.targets[sent[0].Target].process(), Statement: statement}})
}

// TestForwardedQueryBeginsNoAttempt guards against a second run of a query whose attempt gets its connection just after the query was passed on.
func TestForwardedQueryBeginsNoAttempt(t *testing.T) {
	c := qt.New(t)
	sim, _, booking := newCutSimulation(3)
	g := sim.vms[0].gateway
	sent := effectsOf[Send](g.Update(Arrived{Query: 1, Route: booking.route, Deadline: sim.now.Add(time.Second)}))
	c.Assert(sent, qt.HasLen, 1)
	g.checkIsolation(sim.now)
	var effects []Effect
	for name := range g.isolation.pending {
		effects = append(effects, g.Update(ProbeEnded{Target: name})...)
	}
	c.Assert(effectsOf[Forward](effects), qt.HasLen, 1)
	c.Check(effectsOf[Cancel](g.Update(AttemptBegins{Attempt: sent[0].Attempt})), qt.HasLen, 1)
}
