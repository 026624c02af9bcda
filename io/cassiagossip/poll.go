package cassiagossip

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiamember"
)

const (
	// pollersPerZone is the number of VMs of an availability zone that continue to poll the seeds once they have peers.
	pollersPerZone = 2
	// pollInterval is the mean interval between two polls of the seeds by one VM, and the timeout of a poll.
	pollInterval = 15 * time.Second
	// initialPollInterval is half of the mean wait of a VM without peers after its first poll; the wait doubles with
	// each poll, up to pollInterval.
	initialPollInterval = 500 * time.Millisecond
)

// pollSeeds polls the seeds while this VM has no peers or is one of its zone's pollers.
func (g *Gossip) pollSeeds(ctx context.Context) error {
	if g.seeds == nil {
		return nil
	}
	wait := initialPollInterval
	for {
		alone := len(g.Members()) <= 1
		if alone || g.isPoller() {
			g.poll(ctx)
		}
		if wait = min(2*wait, pollInterval); !alone {
			wait = pollInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-g.clock.After(wait/2 + rand.N(wait)):
		}
	}
}

// poll reads the seeds once and passes them to the core.
func (g *Gossip) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollInterval)
	defer cancel()
	g.scope.Counter("seedPolls").Inc(1)
	seeds, err := g.seeds.Seeds(ctx)
	if err != nil {
		g.scope.Counter("seedPollFailed").Inc(1)
		_ = level.Warn(g.logger).Log("message", "seed list could not be read", "error", err)
		return
	}
	g.update(cassiamember.SeedList{Seeds: seeds})
}

// isPoller reports whether this VM is one of its zone's pollers.
func (g *Gossip) isPoller() bool {
	g.mu.Lock()
	self := g.core.Self()
	g.mu.Unlock()
	var sameZone []cassiaid.VMName
	for _, member := range g.Members() {
		if member.Zone == self.Zone {
			sameZone = append(sameZone, member.Name)
		}
	}
	slices.SortFunc(sameZone, func(a, b cassiaid.VMName) int { return cmp.Compare(pollerRank(a), pollerRank(b)) })
	return slices.Contains(sameZone[:min(pollersPerZone, len(sameZone))], self.Name)
}

// pollerRank returns the hash by which the VMs of a zone are sorted: those with the lowest values poll the seeds.
func pollerRank(name cassiaid.VMName) uint64 { return xxhash.Sum64String("seeds " + string(name)) }
