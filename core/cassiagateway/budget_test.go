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

// countRepeats has every attempt of a request fail at once, for some requests, and returns how many were sent beyond the first.
func countRepeats(g *Gateway, clock clockwork.Clock, route *cassiacatalog.Route, requests int) int {
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

// TestTimeOffTheListEarnsNoSlack: a VM that was long off the list does not spend what it would have saved up in that time.
func TestTimeOffTheListEarnsNoSlack(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	window := 10 * time.Second
	g := NewGateway(clock, halfRandom{}, Settings{Retries: cassiabudget.Allowance{Slack: 100, Window: window}, Name: "vm-a", Zone: "a"})
	service := serviceName(0)
	route := &cassiacatalog.Route{Name: "one", Idempotent: true, Timeout: time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2,
		Split: []cassiacatalog.Part{{Service: service, Weight: 1}}}
	g.Update(ServicesChanged{Services: map[cassiacatalog.ServiceName]cassiacatalog.Service{service: {Name: service}}})
	g.Update(TargetsChanged{Targets: []cassiadirectory.Target{
		{Name: targetName(0, 0), Service: service, Zone: "a", Slots: 200}, {Name: targetName(0, 1), Service: service, Zone: "a", Slots: 200}}})
	listed, alone := []VM{{Name: "vm-a", Zone: "a"}, {Name: "vm-b", Zone: "b"}}, []VM{{Name: "vm-b", Zone: "b"}}
	c.Assert(countRepeats(g, clock, route, 100), qt.Equals, 0, qt.Commentf("no list is known"))
	confirm := func(length time.Duration, message Message) {
		for range int(length / time.Second) {
			clock.Advance(time.Second)
			g.Update(message)
		}
	}
	g.Update(FleetChanged{VMs: listed})
	confirm(3*window, FleetConfirmed{})
	c.Assert(countRepeats(g, clock, route, 100), qt.Equals, 25, qt.Commentf("half of the slack is this VM's, half of that is saved up"))
	g.Update(FleetChanged{VMs: alone})
	confirm(6*window, FleetConfirmed{})
	g.Update(FleetChanged{VMs: listed})
	c.Assert(countRepeats(g, clock, route, 100) <= 1, qt.IsTrue, qt.Commentf("what half a window on the list has earned is not saved up off it"))
}
