package cassiaroute

import (
	"slices"
	"time"

	"cassiasaddle/core/cassiafront"
	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
)

var _ cassiaplan.View = (*Table)(nil)

// Table is one VM's view of members, fronts and targets. It implements cassiaplan.View and is not safe for concurrent
// use.
type Table struct {
	local             cassiaid.VMName
	zone              cassiaid.Zone
	clock             cassiaplan.Clock
	members           map[cassiaid.Zone][]Member
	memberCount       int
	fronts            map[cassiaid.FrontKey]*front
	targets           map[cassiaid.TargetName]*target
	owners            map[sliceID][]cassiaid.VMName
	unreachableOwners unreachableOwners
}

// NewTable returns the table of one VM.
func NewTable(local cassiaid.VMName, zone cassiaid.Zone, clock cassiaplan.Clock) *Table {
	return &Table{
		local:             local,
		zone:              zone,
		clock:             clock,
		members:           make(map[cassiaid.Zone][]Member),
		fronts:            make(map[cassiaid.FrontKey]*front),
		targets:           make(map[cassiaid.TargetName]*target),
		owners:            make(map[sliceID][]cassiaid.VMName),
		unreachableOwners: make(unreachableOwners),
	}
}

// Update applies one message and returns the effects that the caller has to perform.
func (t *Table) Update(m Message) []Effect {
	now := t.clock.Now()
	switch m := m.(type) {
	case MembersChanged:
		t.setMembers(m.Members)
	case SettingsChanged:
		t.setFronts(m.Fronts)
	case ResultSeen:
		return t.handleResult(now, m)
	case KnowledgeSeen:
		return t.handleKnowledge(now, m.Targets)
	case TargetLeaving:
		return t.markLeaving(now, m)
	case TargetBack:
		t.markAvailable(m.Target)
	case PlatformLeaving:
		return t.setPlatformLeaving(now, m.Targets)
	case OwnerUnreachable:
		t.unreachableOwners.add(m.Owner, m.reportedAt(now))
	case OwnerReachable:
		delete(t.unreachableOwners, m.Owner)
	case IsolationChanged:
		t.forgetUnreached()
	case AttemptSent:
		t.recordSent(now, m)
	case AttemptEnded:
		return t.recordEnded(now, m)
	}
	return nil
}

// LocalZone returns the zone of this VM.
func (t *Table) LocalZone() cassiaid.Zone { return t.zone }

// Front returns the settings in force of a front, or nil.
func (t *Table) Front(key cassiaid.FrontKey) *cassiaschema.Front {
	if f := t.fronts[key]; f != nil {
		return f.settings
	}
	return nil
}

// Target returns the state of a target; a target that is not known counts as usable.
func (t *Table) Target(name cassiaid.TargetName) cassiaplan.TargetView {
	state := t.targets[name]
	if state == nil {
		return cassiaplan.TargetView{Usable: true}
	}
	now := t.clock.Now()
	return cassiaplan.TargetView{
		HeldSnapshots:     state.snapshots,
		Epoch:             state.shardMapEpoch,
		Usable:            state.usable(now),
		EjectedForLatency: state.ejectedForLatency(now),
		ExpectedLatency:   state.expectedLatency(now, state.peerMedian()),
		P95Latency:        state.p95Latency,
		InFlight:          state.load,
	}
}

// Owners returns the VMs that own a shard's targets in a zone, in the order in which to ask them.
func (t *Table) Owners(key cassiaid.FrontKey, index cassiaid.ShardIndex, zone cassiaid.Zone) []cassiaid.VMName {
	f := t.fronts[key]
	if f == nil {
		return nil
	}
	id := f.sliceID(key, index, zone)
	owners, ok := t.owners[id]
	if !ok {
		owners = rankOwners(t.members[zone], id.key(), f.share.Owners)
		t.owners[id] = owners
	}
	if len(t.unreachableOwners) == 0 {
		return owners
	}
	return t.rankUnreachableLast(owners)
}

// OwnedTarget is a target that this VM owns, with the VM's share of its connections and concurrency.
type OwnedTarget struct {
	Front  cassiaid.FrontKey
	Shard  cassiaid.ShardIndex
	Target *cassiaschema.Target
	Share  Share
}

// OwnedTargets returns the targets in its own zone that this VM owns.
func (t *Table) OwnedTargets() []OwnedTarget { return t.ownedTargets(t.IsOwner) }

// TargetsIfAlive returns the targets that this VM would own if it were not known as leaving.
func (t *Table) TargetsIfAlive() []OwnedTarget {
	members := slices.Clone(t.members[t.zone])
	for i := range members {
		members[i].Leaving = members[i].Leaving && members[i].Name != t.local
	}
	return t.ownedTargets(func(key cassiaid.FrontKey, index cassiaid.ShardIndex) bool {
		f := t.fronts[key]
		return slices.Contains(rankOwners(members, f.sliceID(key, index, t.zone).key(), f.share.Owners), t.local)
	})
}

// ownedTargets returns the targets in its own zone of the shards for which owns returns true.
func (t *Table) ownedTargets(owns func(cassiaid.FrontKey, cassiaid.ShardIndex) bool) []OwnedTarget {
	var owned []OwnedTarget
	for key, f := range t.fronts {
		for i, s := range f.settings.GetShards() {
			index := cassiaid.ShardIndex(i)
			if !owns(key, index) {
				continue
			}
			for _, target := range s.GetTargets() {
				if cassiaid.Zone(target.GetAvailabilityZone()) == t.zone {
					owned = append(owned, OwnedTarget{Front: key, Shard: index, Target: target, Share: f.share})
				}
			}
		}
	}
	return owned
}

// IsOwner reports whether this VM owns a shard's targets in its own zone.
func (t *Table) IsOwner(key cassiaid.FrontKey, index cassiaid.ShardIndex) bool {
	return slices.Contains(t.Owners(key, index, t.zone), t.local)
}

// HedgeAfter returns how long to wait for a shard of the front before a hedge is worth the extra load.
func (t *Table) HedgeAfter(key cassiaid.FrontKey) time.Duration {
	f := t.fronts[key]
	if f == nil {
		return cassiafront.Deadline(nil) / unknownHedgeDivisor
	}
	return f.hedgeDelay()
}

// TakeHedge takes one hedge from the front's budget; it returns false if the budget is used up.
func (t *Table) TakeHedge(key cassiaid.FrontKey) bool {
	f := t.fronts[key]
	return f != nil && f.hedges.Take()
}

// TakeRetry takes one retry from the front's budget; it returns false if the budget is used up.
func (t *Table) TakeRetry(key cassiaid.FrontKey) bool {
	f := t.fronts[key]
	if f == nil {
		return false
	}
	f.retries.EarnTime(t.clock.Now(), retriesPerSecond)
	return f.retries.Take()
}

func (t *Table) setMembers(members []Member) {
	clear(t.members)
	clear(t.owners)
	t.memberCount = len(members)
	for _, m := range members {
		t.members[m.Zone] = append(t.members[m.Zone], m)
	}
	t.unreachableOwners.retainMembers(members)
}

// recordEnded subtracts one attempt from a target's load. The wait for an attempt that was given up counts as its
// latency when that is above the median, since the attempt would have taken longer still. Several attempts given up
// late, with no answer in between, eject the target.
func (t *Table) recordEnded(now time.Time, m AttemptEnded) []Effect {
	state := t.targets[m.Target]
	if state == nil {
		return nil
	}
	state.load = max(0, state.load-1)
	if m.GaveUpAfter > state.medianLatency && state.medianLatency > 0 {
		state.recordLatency(m.GaveUpAfter)
	}
	if peerMedian := state.peerMedian(); peerMedian == 0 || m.GaveUpAfter < unansweredFactor*peerMedian+minHedgeDelay {
		return nil
	}
	state.unanswered++
	if state.unanswered < unansweredToEject {
		return nil
	}
	return t.eject(now, state, EjectUnanswered, firstSlowEjection)
}

func (t *Table) recordSent(now time.Time, m AttemptSent) {
	if f := t.fronts[m.Front]; f != nil && !m.Extra {
		f.hedges.Earn(1, f.hedgeRatio)
		f.retries.Earn(1, f.retryRatio)
	}
	if state := t.targets[m.Target]; state != nil {
		state.load++
		state.nextTrialAt = now.Add(t.trialInterval())
	}
}
