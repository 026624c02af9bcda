package cassiagateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiadirectory"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiarecord"
)

// halfRandom always returns 0.5.
type halfRandom struct{}

func (halfRandom) Float64() float64 { return 0.5 }

// remoteShards returns a gateway in zone a, and a route over shards in zone b with vm-b as their aggregator.
func remoteShards(clock clockwork.Clock, shards int) (*Gateway, *cassiacatalog.Route) {
	g := NewGateway(clock, halfRandom{}, Settings{ExtraRequests: cassiabudget.Allowance{Ratio: 0.2, Slack: 50}, Name: "vm-a", Zone: "a"})
	g.Update(FleetChanged{VMs: []VM{{Name: "vm-a", Zone: "a"}, {Name: "vm-b", Zone: "b"}}})
	route := &cassiacatalog.Route{Name: "search", Idempotent: true, Timeout: time.Second, DesiredLatency: 100 * time.Millisecond,
		MaxAttempts: 2, TopK: 5, MinCoverage: 0.5}
	var targets []cassiadirectory.Target
	for s := range shards {
		route.Shards = append(route.Shards, serviceName(s))
		targets = append(targets, cassiadirectory.Target{Name: targetName(s, 0), Service: serviceName(s), Zone: "b", Slots: 2})
	}
	g.Update(TargetsChanged{Targets: targets})
	return g, route
}

// earnRetries sends requests that are abandoned at once, so that later ones have retry budget.
func earnRetries(g *Gateway, clock clockwork.Clock, route *cassiacatalog.Route) {
	const requests, lastQuery = 10, 1 << 20
	for i := range requests {
		id := QueryID(lastQuery - i)
		sends := effectsOf[Send](g.Update(Arrived{Query: id, Route: route, Deadline: clock.Now().Add(time.Second)}))
		g.Update(CallerGone{Query: id})
		for _, s := range sends {
			g.Update(AttemptEnded{Attempt: s.Attempt, Outcome: OutcomeAbandoned})
		}
	}
}

func effectsOf[T Effect](effects []Effect) []T {
	var found []T
	for _, e := range effects {
		if t, ok := e.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

func answerBy(id cassiaid.AttemptID, stamp string) AttemptEnded {
	return AttemptEnded{Attempt: id, Outcome: OutcomeAnswered, Reply: &Reply{Stamp: stamp, Body: make([]byte, cassiarecord.RecordSize)}}
}

// TestPartsOfOneFrameCountTogether: results of one frame were pruned against each other and lack records that the others
// outrank, so an answer that uses one of them must use all.
func TestPartsOfOneFrameCountTogether(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	g, route := remoteShards(clock, 4)
	sends := effectsOf[Send](g.Update(Arrived{Query: 1, Route: route, Deadline: clock.Now().Add(time.Second)}))
	c.Assert(sends, qt.HasLen, 4)
	for _, s := range sends {
		c.Assert(s.Aggregator, qt.Equals, cassiaid.VMName("vm-b"))
		c.Assert(s.Unpruned, qt.IsFalse)
	}
	c.Assert(effectsOf[Finish](g.Update(AttemptsEnded{[]AttemptEnded{answerBy(sends[0].Attempt, "0")}})), qt.HasLen, 0)
	clock.Advance(90 * time.Millisecond)
	finish := effectsOf[Finish](g.Update(AttemptsEnded{[]AttemptEnded{answerBy(sends[1].Attempt, "1"), answerBy(sends[2].Attempt, "2")}}))
	c.Assert(finish, qt.HasLen, 1)
	c.Check(finish[0].Answer.Merged.Stamps, qt.DeepEquals, []string{"0", "1", "2"})
}

// TestSievedPartReplacesAnother: the pruned result of a shard replaces the result of a hedge that arrived first, since
// later pruned results rely on it.
func TestSievedPartReplacesAnother(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	g, route := remoteShards(clock, 2)
	g.Update(TargetsChanged{Targets: []cassiadirectory.Target{
		{Name: targetName(0, 0), Service: serviceName(0), Zone: "b", Slots: 2},
		{Name: targetName(0, 1), Service: serviceName(0), Zone: "b", Slots: 2},
		{Name: targetName(1, 0), Service: serviceName(1), Zone: "b", Slots: 2},
	}})
	earnRetries(g, clock, route)
	sends := effectsOf[Send](g.Update(Arrived{Query: 1, Route: route, Deadline: clock.Now().Add(time.Second)}))
	c.Assert(sends, qt.HasLen, 2)
	clock.Advance(40 * time.Millisecond)
	hedges := effectsOf[Send](g.Update(Tick{}))
	c.Assert(hedges, qt.HasLen, 1)
	c.Assert(hedges[0].Unpruned, qt.IsTrue)
	g.Update(AttemptsEnded{[]AttemptEnded{answerBy(hedges[0].Attempt, "hedge")}})
	g.Update(AttemptsEnded{[]AttemptEnded{answerBy(sends[0].Attempt, "first")}})
	finish := effectsOf[Finish](g.Update(AttemptsEnded{[]AttemptEnded{answerBy(sends[1].Attempt, "other")}}))
	c.Assert(finish, qt.HasLen, 1)
	c.Check(finish[0].Answer.Merged.Stamps, qt.DeepEquals, []string{"first", "other"})
}

// TestScarceConnectionsAreShared: if a target accepts fewer connections than there are VMs, all VMs must use the same
// aggregator in its zone.
func TestScarceConnectionsAreShared(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	const vms = 70
	var fleet []VM
	for i := range vms {
		fleet = append(fleet, VM{Name: cassiaid.VMName(fmt.Sprintf("vm-%02d", i)), Zone: cassiaid.Zone("abcd"[i%4 : i%4+1]), Cores: 0.2})
	}
	route := &cassiacatalog.Route{Name: "search", Idempotent: true, Timeout: time.Second, DesiredLatency: 100 * time.Millisecond,
		MaxAttempts: 2, TopK: 5, MinCoverage: 0.5}
	var targets []cassiadirectory.Target
	services := make(map[cassiacatalog.ServiceName]cassiacatalog.Service)
	const shards = 2*sliceShards + 1
	for s := range shards {
		name := serviceName(s)
		services[name] = cassiacatalog.Service{Name: name, MaxConnections: 57}
		route.Shards = append(route.Shards, name)
		targets = append(targets, cassiadirectory.Target{Name: targetName(s, 0), Service: name, Zone: "b", Slots: 2})
	}
	senders := make(map[cassiaid.TargetName]map[cassiaid.VMName]bool)
	for _, vm := range fleet {
		g := NewGateway(clock, halfRandom{}, Settings{Name: vm.Name, Zone: vm.Zone})
		g.Update(ServicesChanged{Services: services, LargestFanOut: shards})
		g.Update(FleetChanged{VMs: fleet})
		g.Update(TargetsChanged{Targets: targets})
		for _, s := range effectsOf[Send](g.Update(Arrived{Query: 1, Route: route, Deadline: clock.Now().Add(time.Second)})) {
			sender := s.Aggregator
			if sender == "" {
				sender = vm.Name
			}
			if senders[s.Target] == nil {
				senders[s.Target] = make(map[cassiaid.VMName]bool)
			}
			senders[s.Target][sender] = true
		}
	}
	c.Assert(senders, qt.HasLen, len(targets))
	aggregatorVMs := make(map[cassiaid.VMName]bool)
	for target, by := range senders {
		c.Check(by, qt.HasLen, 1, qt.Commentf("%s", target))
		for vm := range by {
			aggregatorVMs[vm] = true
		}
	}
	c.Check(len(aggregatorVMs) > 1 && len(aggregatorVMs) <= slicesFor(shards), qt.IsTrue,
		qt.Commentf("%d VMs send to the targets, want at least 2 and at most %d", len(aggregatorVMs), slicesFor(shards)))
}

// TestAggregatorsAreKnownAheadOfFanOuts guards against fan-outs that are the first to use the connection to an aggregator, and against
// connections to all VMs of a large fleet.
func TestAggregatorsAreKnownAheadOfFanOuts(t *testing.T) {
	const zones, vms, shards = 6, 120, 2 * sliceShards
	zone := func(i int) cassiaid.Zone { return cassiaid.Zone("abcdef"[i%zones : i%zones+1]) }
	for _, test := range []struct {
		name           string
		maxConnections int
		// most is how many aggregators a VM may have.
		most int
	}{{"scarce connections", 57, zones * slicesFor(shards)}, {"many connections", 0, zones - 1}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			clock := clockwork.NewFakeClock()
			route := &cassiacatalog.Route{Name: "search", Idempotent: true, Timeout: time.Second, DesiredLatency: 100 * time.Millisecond,
				MaxAttempts: 2, TopK: 5, MinCoverage: 0.5}
			var fleet []VM
			for i := range vms {
				fleet = append(fleet, VM{Name: cassiaid.VMName(fmt.Sprintf("vm-%03d", i)), Zone: zone(i), Cores: 0.2})
			}
			var targets []cassiadirectory.Target
			services, fanOut := make(map[cassiacatalog.ServiceName]cassiacatalog.Service), make(map[cassiacatalog.ServiceName]bool)
			for s := range shards {
				name := serviceName(s)
				services[name], fanOut[name] = cassiacatalog.Service{Name: name, MaxConnections: test.maxConnections}, true
				route.Shards = append(route.Shards, name)
				targets = append(targets, cassiadirectory.Target{Name: targetName(s, 0), Service: name, Zone: zone(s), Slots: 2})
			}
			g := NewGateway(clock, halfRandom{}, Settings{Name: "vm-000", Zone: "a"})
			g.Update(FleetChanged{VMs: fleet})
			g.Update(TargetsChanged{Targets: targets})
			g.Update(ServicesChanged{Services: services, FanOut: fanOut, LargestFanOut: shards})
			known := make(map[cassiaid.VMName]bool)
			for _, vm := range g.Aggregators() {
				known[vm] = true
			}
			c.Check(len(known) <= test.most, qt.IsTrue, qt.Commentf("%d aggregators", len(known)))
			for _, s := range effectsOf[Send](g.Update(Arrived{Query: 1, Route: route, Deadline: clock.Now().Add(time.Second)})) {
				c.Check(s.Aggregator == "" || known[s.Aggregator], qt.IsTrue, qt.Commentf("%s was not known", s.Aggregator))
			}
		})
	}
}

// TestSlicesFollowTheLargestFanOut guards against aggregators that get many attempts of one fan-out, or a few each, because of a
// number of slices that suits another fan-out.
func TestSlicesFollowTheLargestFanOut(t *testing.T) {
	c := qt.New(t)
	for _, shards := range []int{0, 1, sliceShards, sliceShards + 1, 4 * sliceShards} {
		count := slicesFor(shards)
		c.Check(count >= 1 && shards <= count*sliceShards && (count == 1 || shards > (count-1)*sliceShards), qt.IsTrue, qt.Commentf("%d shards, %d slices", shards, count))
	}
	g, _ := remoteShards(clockwork.NewFakeClock(), 3)
	target := g.targets[targetName(2, 0)]
	for _, shards := range []int{1, 40 * sliceShards, 1} {
		g.Update(ServicesChanged{LargestFanOut: shards})
		c.Check(target.slice, qt.Equals, sliceKey(target.Name, slicesFor(shards)))
	}
}

// TestRouteWithoutTargetsKeepsVMReady: requests for a route without targets, which no VM could serve, must not make this
// VM report that it cannot serve.
func TestRouteWithoutTargetsKeepsVMReady(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	g, _ := remoteShards(clock, 1)
	unused := &cassiacatalog.Route{Name: "unused", Timeout: time.Second, DesiredLatency: time.Second, MaxAttempts: 1,
		Split: []cassiacatalog.WeightedService{{Service: "nobody", Weight: 1}}}
	finish := effectsOf[Finish](g.Update(Arrived{Query: 1, Route: unused, Deadline: clock.Now().Add(time.Second)}))
	c.Assert(finish, qt.HasLen, 1)
	c.Check(finish[0].Answer.Refusal.Reason, qt.Equals, RefusalUnreachable)
	c.Check(finish[0].Answer.Refusal.NotRun, qt.IsTrue)
	c.Check(g.CanServe(), qt.IsTrue)
}

// scarceShard returns a gateway in zone a and a route over one shard with scarce connections, which has a target and an
// aggregator in each of three other zones.
func scarceShard(clock clockwork.Clock) (*Gateway, *cassiacatalog.Route) {
	g, route := remoteShards(clock, 1)
	g.Update(FleetChanged{VMs: []VM{{Name: "vm-a", Zone: "a"}, {Name: "vm-b", Zone: "b"}, {Name: "vm-c", Zone: "c"}, {Name: "vm-d", Zone: "d"}}})
	name := serviceName(0)
	g.Update(ServicesChanged{Services: map[cassiacatalog.ServiceName]cassiacatalog.Service{name: {Name: name, MaxConnections: 2}}})
	var targets []cassiadirectory.Target
	for i, zone := range []cassiaid.Zone{"b", "c", "d"} {
		targets = append(targets, cassiadirectory.Target{Name: targetName(0, i), Service: name, Zone: zone, Slots: 2})
	}
	g.Update(TargetsChanged{Targets: targets})
	route.MaxAttempts = 3
	return g, route
}

// TestHedgeOverBudgetGoesElsewhere: if an aggregator has no retry budget left for a service, the hedge goes to the
// targets of other zones, each tried once; the first attempt can still answer.
func TestHedgeOverBudgetGoesElsewhere(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	g, route := scarceShard(clock)
	first := effectsOf[Send](g.Update(Arrived{Query: 1, Route: route, Deadline: clock.Now().Add(time.Second)}))
	c.Assert(first, qt.HasLen, 1)
	asked := map[cassiaid.VMName]bool{first[0].Aggregator: true}
	clock.Advance(40 * time.Millisecond)
	for range 2 {
		hedges := effectsOf[Send](g.Update(Tick{}))
		c.Assert(hedges, qt.HasLen, 1)
		c.Assert(hedges[0].AggregatorPays, qt.IsTrue)
		asked[hedges[0].Aggregator] = true
		g.Update(AttemptsEnded{[]AttemptEnded{{Attempt: hedges[0].Attempt, Outcome: OutcomeOverBudget}}})
	}
	c.Check(asked, qt.HasLen, 3)
	c.Check(effectsOf[Send](g.Update(Tick{})), qt.HasLen, 0)
	finish := effectsOf[Finish](g.Update(AttemptsEnded{[]AttemptEnded{answerBy(first[0].Attempt, "first")}}))
	c.Assert(finish, qt.HasLen, 1)
	c.Check(finish[0].Answer.Merged.Stamps, qt.DeepEquals, []string{"first"})
}

// TestUnfitTargetsAreLeftAtOnce: a shard whose target is declined as unfit goes to the next target without delay and
// without using retry budget; after maxDeclined targets the attempt is forced. Its result can still be pruned, since no
// other attempt of the shard was sent before.
func TestUnfitTargetsAreLeftAtOnce(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	g, route := scarceShard(clock)
	sends := effectsOf[Send](g.Update(Arrived{Query: 1, Route: route, Deadline: clock.Now().Add(time.Second)}))
	asked := map[cassiaid.TargetName]bool{}
	for i := range maxDeclined + 1 {
		c.Assert(sends, qt.HasLen, 1)
		asked[sends[0].Target] = true
		c.Check([]bool{sends[0].Force, sends[0].AggregatorPays, sends[0].Unpruned}, qt.DeepEquals, []bool{i == maxDeclined, false, false})
		if i < maxDeclined {
			sends = effectsOf[Send](g.Update(AttemptsEnded{[]AttemptEnded{{Attempt: sends[0].Attempt, Outcome: OutcomeUnfit}}}))
		}
	}
	c.Check(asked, qt.HasLen, maxDeclined+1)
	finish := effectsOf[Finish](g.Update(AttemptsEnded{[]AttemptEnded{answerBy(sends[0].Attempt, "0")}}))
	c.Assert(finish, qt.HasLen, 1)
	c.Check(finish[0].Answer.Merged.Stamps, qt.DeepEquals, []string{"0"})
}

// TestDeniedRepeatIsPaidWhereItGoesNext: if an aggregator does not send an attempt that was charged to its retry
// budget, this VM may send that attempt itself only if it charges its own retry budget.
func TestDeniedRepeatIsPaidWhereItGoesNext(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeOverBudget, OutcomeUnfit} {
		c := qt.New(t)
		clock := clockwork.NewFakeClock()
		g, route := scarceShard(clock)
		g.settings.ExtraRequests = cassiabudget.Allowance{}
		sends := effectsOf[Send](g.Update(Arrived{Query: 1, Route: route, Deadline: clock.Now().Add(time.Second)}))
		sends = effectsOf[Send](g.Update(AttemptsEnded{[]AttemptEnded{{Attempt: sends[0].Attempt, Outcome: OutcomeBroken}}}))
		for len(sends) > 0 {
			c.Assert(sends, qt.HasLen, 1)
			c.Check(sends[0].AggregatorPays, qt.IsTrue, qt.Commentf("%s: sent by %q", outcome, sends[0].Aggregator))
			// From now on there is no other VM to act as an aggregator.
			g.Update(FleetChanged{})
			sends = effectsOf[Send](g.Update(AttemptsEnded{[]AttemptEnded{{Attempt: sends[0].Attempt, Outcome: outcome}}}))
		}
	}
}
