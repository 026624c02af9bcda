package cassiagateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiadirectory"
)

// countExtraRequests sends requests whose attempts all fail at once, and returns how many attempts beyond the first
// were sent.
func countExtraRequests(g *Gateway, clock clockwork.Clock, route *cassiacatalog.Route, requests int) int {
	sent := 0
	for i := range requests {
		sends := effectsOf[Send](g.Update(Arrived{Query: QueryID(i + 1), Route: route, Deadline: clock.Now().Add(time.Second)}))
		for len(sends) > 0 {
			sends = append(sends[1:], effectsOf[Send](g.Update(AttemptEnded{Attempt: sends[0].Attempt, Outcome: OutcomeBroken}))...)
			sent++
		}
	}
	return sent - requests
}

// TestTimeOffTheListEarnsNoSlack: a VM must not earn retry budget while it is missing from the list of VMs. Otherwise a
// VM that returns after a long absence spends slack that the other VMs have meanwhile divided among themselves.
func TestTimeOffTheListEarnsNoSlack(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	window := 10 * time.Second
	g := NewGateway(clock, halfRandom{}, Settings{ExtraRequests: cassiabudget.Allowance{Slack: 100, Window: window}, Name: "vm-a", Zone: "a"})
	service := serviceName(0)
	route := &cassiacatalog.Route{Name: "one", Idempotent: true, Timeout: time.Second, DesiredLatency: 100 * time.Millisecond, MaxAttempts: 2,
		Split: []cassiacatalog.WeightedService{{Service: service, Weight: 1}}}
	g.Update(ServicesChanged{Services: map[cassiacatalog.ServiceName]cassiacatalog.Service{service: {Name: service}}})
	g.Update(TargetsChanged{Targets: []cassiadirectory.Target{
		{Name: targetName(0, 0), Service: service, Zone: "a", Slots: 200}, {Name: targetName(0, 1), Service: service, Zone: "a", Slots: 200}}})
	listed, withoutSelf := []VM{{Name: "vm-a", Zone: "a"}, {Name: "vm-b", Zone: "b"}}, []VM{{Name: "vm-b", Zone: "b"}}
	c.Assert(countExtraRequests(g, clock, route, 100), qt.Equals, 0, qt.Commentf("no list of VMs is known"))
	confirm := func(length time.Duration, message Message) {
		for range int(length / time.Second) {
			clock.Advance(time.Second)
			g.Update(message)
		}
	}
	g.Update(FleetChanged{VMs: listed})
	confirm(3*window, FleetConfirmed{})
	c.Assert(countExtraRequests(g, clock, route, 100), qt.Equals, 25, qt.Commentf("this VM has half of the slack and saves up half of its share"))
	g.Update(FleetChanged{VMs: withoutSelf})
	confirm(6*window, FleetConfirmed{})
	g.Update(FleetChanged{VMs: listed})
	c.Assert(countExtraRequests(g, clock, route, 100) <= 1, qt.IsTrue, qt.Commentf("a VM that returns to the list must have at most one extra request left"))
}
