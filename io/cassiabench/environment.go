package cassiabench

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaschema"
	"cassiasaddle/core/cassiasettings"
	"cassiasaddle/standin/cassialaunch"
	"cassiasaddle/standin/cassiaplatform"
	"cassiasaddle/standin/cassiarelay"
	"cassiasaddle/standin/cassiashard"
)

// Times for starting VMs and applying settings.
const (
	startTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Rate limits of the platform's key-value service, in calls per second.
const (
	platformWritesPerSecond = 300
	platformReadsPerSecond  = 2000
)

// Load of the simulated other system that shares the targets.
const (
	// otherSystemLoad is the fraction of the time of a target's slots that it uses.
	otherSystemLoad = 0.3
	// otherSystemConnectionShare is the fraction of a target's connection limit that it holds.
	otherSystemConnectionShare = 0.5
)

// environment holds the stand-ins, the VMs and the simulated links of one run.
type environment struct {
	layout   *layout
	fleet    *cassiashard.Fleet
	platform *cassiaplatform.Platform
	random   *rand.Rand
	links    *links
	// cluster and callers are nil for the baseline, which runs without VMs.
	cluster *cluster
	callers *callers

	mu           sync.Mutex
	leavingSince map[string]time.Time
}

// newEnvironment creates the stand-ins and links of a scenario and starts none of them.
func newEnvironment(s Scenario, seed uint64) (*environment, error) {
	l, err := newLayout(s.Deployment)
	if err != nil {
		return nil, err
	}
	if s.VMsPerZone > 0 {
		l.limitVMs(s.VMsPerZone)
	}
	e := &environment{
		layout:       l,
		platform:     cassiaplatform.New(cassiaplatform.Options{WritesPerSecond: platformWritesPerSecond, ReadsPerSecond: platformReadsPerSecond}),
		random:       rand.New(rand.NewPCG(seed, 3)),
		links:        newLinks(s.Delays, seed),
		leavingSince: map[string]time.Time{},
	}
	behaviours := map[string]cassiashard.Behaviour{}
	for team, patch := range l.Behaviour {
		b, err := cassiashard.DefaultBehaviour().Merge(patch)
		if err != nil {
			return nil, err
		}
		b.BackgroundLoad = otherSystemLoad
		behaviours[team] = b
	}
	behaviourOf := func(team string) cassiashard.Behaviour { return behaviours[team] }
	if e.fleet, err = cassiashard.NewFleet(l.Teams, behaviourOf, seed); err != nil {
		return nil, err
	}
	e.fleet.UpdateBehaviours(func(b *cassiashard.Behaviour) {
		b.OtherConnections = int(float64(b.MaxConnections) * otherSystemConnectionShare)
	})
	if s.Prepare != nil {
		s.Prepare(e)
	}
	return e, nil
}

// Close releases the loopback networks and deletes the certificates. Everything that uses them must have stopped.
func (e *environment) Close() error {
	err := e.layout.Close()
	if e.cluster != nil {
		err = errors.Join(err, e.cluster.Close())
	}
	return err
}

// startStandins starts the platform and the targets in the group and returns once they listen.
func (e *environment) startStandins(ctx context.Context, group *errgroup.Group) error {
	if err := cassialaunch.StartHTTPServer(ctx, group, e.layout.VMs[0].GetPlatformAddress(), e.platform); err != nil {
		return err
	}
	ready := make(chan struct{})
	group.Go(func() error { return e.fleet.Run(ctx, func() { close(ready) }) })
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return eris.New("the run ended before the targets were listening")
	}
}

// startVMs starts all VMs in the group, applies the settings and returns once the VMs are ready. It fails after
// startTimeout.
func (e *environment) startVMs(ctx context.Context, group *errgroup.Group, seed uint64) error {
	e.callers = newCallers(e.layout.VMs, e.links)
	for _, vm := range e.layout.VMs {
		e.platform.PutVM(platformVM(vm, "live"))
	}
	var err error
	if e.cluster, err = newCluster(e.layout.VMs); err != nil {
		return err
	}
	for i, vm := range e.layout.VMs {
		e.cluster.start(ctx, group, vm, e.datagramFaults(vm), e.links.dialTarget(vm.GetName()), seed+uint64(i))
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := e.cluster.apply(ctx, cassiasettings.RootSubtree, adminToken, e.layout.Files[""]); err != nil {
		return err
	}
	for _, team := range e.layout.Teams {
		if err := e.applyTeam(ctx, team); err != nil {
			return err
		}
	}
	return e.cluster.waitReady(ctx)
}

// applyTeam applies a team's settings through the first VM.
func (e *environment) applyTeam(ctx context.Context, team *cassiaschema.TeamSettings) error {
	text, err := toYAML(team)
	if err != nil {
		return err
	}
	return e.cluster.apply(ctx, cassiasettings.Subtree(team.GetTeam()), team.GetTeam()+teamTokenSuffix, text)
}

// datagramFaults returns a function that maps a datagram's destination to the faults of the link from a VM to it.
func (e *environment) datagramFaults(vm *cassiaschema.VmConfig) func(net.Addr) cassiarelay.Faults {
	zones := map[string]string{}
	for _, other := range e.layout.VMs {
		zones[other.GetPeerAddress()] = other.GetAvailabilityZone()
		zones[other.GetGossipAddress()] = other.GetAvailabilityZone()
	}
	return func(peer net.Addr) cassiarelay.Faults {
		zone, found := zones[peer.String()]
		if !found {
			return cassiarelay.Faults{}
		}
		return e.links.faults(vm.GetAvailabilityZone(), zone)
	}
}

// retry repeats call, every pollInterval, until it succeeds or the context ends.
func retry(ctx context.Context, call func() error) error {
	for {
		err := call()
		if err == nil {
			return nil
		}
		wait(ctx, pollInterval)
		if ctx.Err() != nil {
			return eris.Wrap(err, "the call did not succeed before the deadline")
		}
	}
}

// platformVM returns a VM's entry in the platform's VM list.
func platformVM(vm *cassiaschema.VmConfig, state string) cassiaplatform.VM {
	return cassiaplatform.VM{
		Name: vm.GetName(), Region: vm.GetRegion(), AvailabilityZone: vm.GetAvailabilityZone(),
		PeerAddress: vm.GetPeerAddress(), GossipAddress: vm.GetGossipAddress(), State: state,
	}
}

// pickTargets returns a random selection of count distinct targets in random order.
func (e *environment) pickTargets(count int) []*cassiashard.Target {
	targets := e.fleet.Targets()
	picked := make([]*cassiashard.Target, 0, count)
	for _, i := range e.random.Perm(len(targets))[:count] {
		picked = append(picked, targets[i])
	}
	return picked
}

// shardCount returns the number of shards of all teams' first fronts.
func (e *environment) shardCount() int {
	count := 0
	for _, team := range e.layout.Teams {
		count += len(team.GetFronts()[0].GetShards())
	}
	return count
}

// targetsOf returns the targets of a team's first front.
func (e *environment) targetsOf(team *cassiaschema.TeamSettings) []*cassiashard.Target {
	var targets []*cassiashard.Target
	for _, shard := range team.GetFronts()[0].GetShards() {
		for _, target := range shard.GetTargets() {
			targets = append(targets, e.fleet.Target(target.GetName()))
		}
	}
	return targets
}

// announceLeaving makes the platform announce that a target is about to stop, and records the time.
func (e *environment) announceLeaving(target string) {
	e.platform.SetLeaving(target, true)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leavingSince[target] = time.Now()
}

// apply applies a team's changed settings; it does nothing for the baseline, which has no VMs.
func (e *environment) apply(team *cassiaschema.TeamSettings) error {
	if e.cluster == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return e.applyTeam(ctx, team)
}

// stopVM marks a VM as leaving on the platform and stops it; it does nothing for the baseline, which has no VMs.
func (e *environment) stopVM(vm *cassiaschema.VmConfig) {
	if e.cluster != nil {
		e.platform.PutVM(platformVM(vm, "leaving"))
		e.cluster.stop(vm)
	}
}

// removeFromBalancer removes a VM from the callers' load balancer; it does nothing for the baseline.
func (e *environment) removeFromBalancer(vm string) {
	if e.callers != nil {
		e.callers.remove(vm)
	}
}
