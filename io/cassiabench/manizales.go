package cassiabench

import (
	"time"

	cassiaexample "cassiasaddle/examples"
	"cassiasaddle/standin/cassiaplatform"
	"cassiasaddle/standin/cassiashard"
)

// manizales is the example deployment in the region caldas, with that region's one-way link delays.
var manizales = deployment{
	name: cassiaexample.Manizales, loads: manizalesLoads,
	delays: linkProperties{BetweenZones: 5 * time.Millisecond, ToClients: time.Millisecond, Jitter: time.Millisecond},
}

func manizalesLoads() []load {
	return []load{
		{Team: "catalogo", Front: "menu-search", Rate: 50},
		{Team: "rutas", Front: "route-substitution", Rate: 50},
		{Team: "portal-hogar", Front: "standing-order-lookup", Rate: 40},
		{Team: "facturacion", Front: "invoice-lookup", Rate: 10},
	}
}

func manizalesScenarios() []Scenario {
	lost := manizales.scenario("lost-replica", "One shard in 5 loses a replica: most refuse connections, some never answer.")
	lost.Events = lostReplicaEvents(time.Second)

	stop := manizales.scenario("vm-stop", "Two VMs are stopped as planned while queries run.")
	stop.Events = func(e *environment) []event {
		return append(stopVMEvents(e, 0, 2*time.Second), stopVMEvents(e, 4, 5*time.Second)...)
	}

	down := manizales.scenario("store-down", "The platform is out of reach for 6 s while queries and changes run.")
	down.Loads = append(down.Loads, standingOrderChanges())
	down.Events = func(*environment) []event {
		return []event{
			{2 * time.Second, setPlatformFaults(cassiaplatform.Faults{Down: true})},
			{8 * time.Second, setPlatformFaults(cassiaplatform.Faults{})},
		}
	}

	nonIdempotent := manizales.scenario("nonidempotent", "Standing orders change, every third change is sent a second time to another VM, "+
		"replies of the store are lost, the store is down for a second and targets cut connections before their reply.")
	nonIdempotent.Loads = append(nonIdempotent.Loads, standingOrderChanges())
	nonIdempotent.Prepare = func(e *environment) {
		for _, t := range e.targetsOf(e.layout.team("portal-hogar")) {
			t.UpdateBehaviour(func(b *cassiashard.Behaviour) { b.ReplyFaults.CutBeforeReply = 0.02 })
		}
	}
	nonIdempotent.Events = func(*environment) []event {
		return []event{
			{time.Second, setPlatformFaults(cassiaplatform.Faults{LoseReplies: 20})},
			{4 * time.Second, setPlatformFaults(cassiaplatform.Faults{Down: true})},
			{5 * time.Second, setPlatformFaults(cassiaplatform.Faults{LoseReplies: 20})},
		}
	}

	cold := manizales.scenario("cold-start", "One target in 10 restarts, refuses as cold for a second and is slow for two more.")
	cold.Events = coldStartEvents

	stranded := manizales.scenario("stranded", "Two of the three VMs of each availability zone are cut off from all targets for 6 s.")
	stranded.Events = strandedEvents(time.Second, 7*time.Second)
	// VMs notice the cut by health calls, which are a second apart and time out after another.
	stranded.Phases = []phase{{"noticed", 4 * time.Second, 7 * time.Second}, {"reconnected", 8500 * time.Millisecond, 10 * time.Second}}

	return append(manizales.commonScenarios(), lost, stop, down, nonIdempotent, cold, stranded)
}

// standingOrderChanges returns a load of non-idempotent standing-order changes, a third of which are sent twice.
func standingOrderChanges() load {
	return load{
		Team: "portal-hogar", Front: "standing-order-change", Rate: 30,
		RepeatShare: 0.33, RepeatWithin: 500 * time.Millisecond,
	}
}

// setPlatformFaults returns an event action that replaces the platform's faults.
func setPlatformFaults(faults cassiaplatform.Faults) func(*environment) error {
	return func(e *environment) error {
		e.platform.SetFaults(faults)
		return nil
	}
}

// strandedEvents returns events that cut all but the last VM of each availability zone off from all targets, for a time.
func strandedEvents(from, to time.Duration) func(*environment) []event {
	set := func(stranded bool) func(*environment) error {
		return func(e *environment) error {
			for i, vm := range e.layout.VMs[:len(e.layout.VMs)-1] {
				if e.layout.VMs[i+1].GetAvailabilityZone() == vm.GetAvailabilityZone() {
					e.links.setStranded(vm.GetName(), stranded)
				}
			}
			return nil
		}
	}
	return func(*environment) []event { return []event{{from, set(true)}, {to, set(false)}} }
}

// balancerLag is the time from the start of a VM's shutdown until the load balancer removes the VM.
const balancerLag = 300 * time.Millisecond

// stopVMEvents returns events that stop a VM in an orderly way and, balancerLag later, remove it from the load
// balancer.
func stopVMEvents(e *environment, number int, at time.Duration) []event {
	vm := e.layout.VMs[number]
	return []event{
		{at, func(e *environment) error { e.stopVM(vm); return nil }},
		{at + balancerLag, func(e *environment) error { e.removeFromBalancer(vm.GetName()); return nil }},
	}
}
