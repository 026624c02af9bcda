package cassiagateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"cassiasaddle/core/cassiabudget"
	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiadirectory"
	"cassiasaddle/core/cassiaid"
)

// BenchmarkFanOutDecisions reports the time that the decisions of one fan-out take on the VM that serves it, without any I/O: its
// arrival and its results, in as many frames as aggregators send.
func BenchmarkFanOutDecisions(b *testing.B) {
	for _, shards := range []int{45, 135, 270} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			const zones, vms, frames = 3, 60, 3
			zone := func(i int) cassiaid.Zone { return cassiaid.Zone("abc"[i%zones : i%zones+1]) }
			clock := clockwork.NewFakeClock()
			route := &cassiacatalog.Route{Name: "search", Idempotent: true, Timeout: time.Second, DesiredLatency: 100 * time.Millisecond,
				MaxAttempts: 2, TopK: 20, MinCoverage: 0.9}
			var targets []cassiadirectory.Target
			services, fanOut := make(map[cassiacatalog.ServiceName]cassiacatalog.Service), make(map[cassiacatalog.ServiceName]bool)
			for s := range shards {
				name := serviceName(s)
				services[name], fanOut[name] = cassiacatalog.Service{Name: name, MaxConnections: 57}, true
				route.Shards = append(route.Shards, name)
				for replica := range 3 {
					targets = append(targets, cassiadirectory.Target{Name: targetName(s, replica), Service: name, Zone: zone(s + replica), Slots: 2})
				}
			}
			var fleet []VM
			for i := range vms {
				fleet = append(fleet, VM{Name: cassiaid.VMName(fmt.Sprintf("vm-%02d", i)), Zone: zone(i), Cores: 0.2})
			}
			g := NewGateway(clock, halfRandom{}, Settings{ExtraRequests: cassiabudget.Allowance{Ratio: 0.2, Slack: 50}, Name: "vm-00", Zone: "a"})
			g.Update(FleetChanged{VMs: fleet})
			g.Update(ServicesChanged{Services: services, FanOut: fanOut, LargestFanOut: shards})
			g.Update(TargetsChanged{Targets: targets})
			b.ReportAllocs()
			for i := range b.N {
				sends := effectsOf[Send](g.Update(Arrived{Query: QueryID(i + 1), Route: route, Deadline: clock.Now().Add(time.Second)}))
				byAggregator := make(map[cassiaid.VMName][]AttemptEnded)
				for _, s := range sends {
					byAggregator[s.Aggregator] = append(byAggregator[s.Aggregator], answerBy(s.Attempt, "stamp"))
				}
				clock.Advance(15 * time.Millisecond)
				for frame := range frames {
					for _, ended := range byAggregator {
						from, to := frame*len(ended)/frames, (frame+1)*len(ended)/frames
						g.Update(AttemptsEnded{Ended: ended[from:to]})
					}
				}
				clock.Advance(time.Second)
				g.Update(Tick{})
			}
		})
	}
}
