package cassiabench

import (
	"time"

	cassiaexample "cassiasaddle/examples"
	"cassiasaddle/standin/cassiashard"
)

// hrafnsvik is the example deployment in the region sudurland, with that region's one-way link delays.
var hrafnsvik = deployment{
	name: cassiaexample.Hrafnsvik, loads: hrafnsvikLoads,
	delays: linkProperties{BetweenZones: 4 * time.Millisecond, ToClients: 3 * time.Millisecond, Jitter: time.Millisecond},
}

func hrafnsvikLoads() []load {
	return []load{
		{Team: "stilisti", Front: "outfit-search", Rate: 50},
		{Team: "lager", Front: "stock-search", Rate: 50},
		{Team: "askrift", Front: "fit-lookup", Rate: 40},
		{Team: "sending", Front: "order-lookup", Rate: 20},
	}
}

func hrafnsvikScenarios() []Scenario {
	repartition := hrafnsvik.scenario("repartition", "The shards of stilisti are repartitioned while queries run.")
	repartition.Events = repartitionEvents("stilisti")

	death := hrafnsvik.scenario("query-of-death", "One fit lookup crashes each target that runs it, and its caller sends it again and again.")
	death.Loads = append(death.Loads, load{Team: "askrift", Front: "fit-lookup", Rate: 5, Crashing: true})
	death.Prepare = func(e *environment) {
		e.fleet.UpdateBehaviours(func(b *cassiashard.Behaviour) { b.CrashMarker = crashMarker })
	}

	leaving := hrafnsvik.scenario("draining", "One target in 10 is announced as leaving, drains 4 s later and is gone after 6 s.")
	leaving.Events = drainEvents

	bad := hrafnsvik.scenario("bad-replies", "Some replies are doubled, truncated, late, of another attempt or of another snapshot.")
	bad.Prepare = setBadReplies

	health := hrafnsvik.scenario("lying-health", "Health reports of half the targets claim that they drain; the others lag by 30 s.")
	health.Prepare = setFalseHealthReports

	booking := hrafnsvik.scenario("booking", "Members book boxes; every fifth booking is sent a second time to another VM.")
	booking.Loads = append(booking.Loads, load{
		Team: "askrift", Front: "box-booking", Rate: 20, RepeatShare: 0.2, RepeatWithin: 500 * time.Millisecond,
	})

	pair := hrafnsvik.scenario("stragglers-and-lost-replica", "Stragglers as in hrafnsvik-stragglers while one shard in 5 loses a replica.")
	pair.Prepare = setStragglers
	pair.Events = lostReplicaEvents(2 * time.Second)

	lossy := hrafnsvik.scenario("lossy-links", "Links between availability zones lose one packet in 200 and vary by 3 ms.")
	lossy.Delays.Loss, lossy.Delays.Jitter = 0.005, 3*time.Millisecond

	cut := hrafnsvik.scenario("zone-cut", "The VMs of sud-d are cut off from those of the other availability zones for 4 s.")
	cut.Events = func(*environment) []event {
		return []event{
			{2 * time.Second, func(e *environment) error { e.links.setCut("sud-d", true); return nil }},
			{6 * time.Second, func(e *environment) error { e.links.setCut("sud-d", false); return nil }},
		}
	}

	return append(hrafnsvik.commonScenarios(), repartition, death, leaving, bad, health, booking, pair, lossy, cut)
}

// repartitionEvents returns events that increment a team's shard map epoch in its settings and then, within half a
// second, on each of its targets.
func repartitionEvents(team string) func(*environment) []event {
	return func(e *environment) []event {
		const at, spread = 4 * time.Second, 500 * time.Millisecond
		settings := e.layout.team(team)
		events := []event{{at, func(e *environment) error {
			for _, front := range settings.GetFronts() {
				front.ShardMapEpoch++
			}
			return e.apply(settings)
		}}}
		targets := e.targetsOf(settings)
		for i, t := range targets {
			step := spread * time.Duration(i) / time.Duration(len(targets))
			events = append(events, event{at + step, func(*environment) error {
				t.UpdateBehaviour(func(b *cassiashard.Behaviour) { b.ShardMapEpoch++ })
				return nil
			}})
		}
		return events
	}
}
