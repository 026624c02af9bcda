package cassiaroute

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

// messageCounts holds the number of messages for the first attempts of one query, for each way to reach the targets.
type messageCounts struct {
	// direct is one call to each target, without owners; perShard is the number of messages if owners were chosen for
	// each shard instead of each slice.
	direct, perShard int
	// relayed is one message to a relay in each zone and one from there to each owner.
	relayed int
	// sliced is one message to each owner of a slice.
	sliced int
}

// countMessages counts the messages of a query from the zone local. The query asks as few zones as possible or, with
// scatter, a different zone for each shard in turn. It adds the number of shards asked of each owner to load.
func countMessages(t *Table, key cassiaid.FrontKey, local string, scatter bool, load map[cassiaid.VMName]int) messageCounts {
	f := t.Front(key)
	zones := zonesAskedFrom(f, zonesOf(f), local)
	owners, relays, single := map[cassiaid.VMName]bool{}, map[string]bool{}, map[string]bool{}
	for i, s := range f.GetShards() {
		zone := s.GetTargets()[i/len(zonesOf(f))%len(s.GetTargets())].GetAvailabilityZone()
		for _, near := range zones {
			if !scatter && hasTargetIn(s, near) {
				zone = near
				break
			}
		}
		owner := t.Owners(key, cassiaid.ShardIndex(i), cassiaid.Zone(zone))[0]
		owners[owner] = true
		relays[zone] = true
		load[owner]++
		id := sliceID{front: key, zone: cassiaid.Zone(zone), slice: i}
		single[string(rankOwners(t.members[cassiaid.Zone(zone)], id.key(), 1)[0])] = true
	}
	return messageCounts{direct: len(f.GetShards()), perShard: len(single), relayed: len(relays) + len(owners), sliced: len(owners)}
}

func TestPeerMessagesOfAQuery(t *testing.T) {
	sizes := []struct{ vms, zones, shards, replicas, fronts int }{
		{8, 4, 50, 2, 1}, {8, 3, 50, 2, 1},
		{590, 4, 76, 2, 30}, {590, 4, 76, 4, 15}, {590, 8, 76, 2, 30}, {590, 8, 76, 4, 15}, {590, 8, 76, 8, 8},
	}
	for _, tt := range sizes {
		t.Run(fmt.Sprintf("%+v", tt), func(t *testing.T) {
			table, keys := sizedTable(tt.vms, tt.zones, tt.shards, tt.replicas, tt.fronts)
			load, scatteredLoad := map[cassiaid.VMName]int{}, map[cassiaid.VMName]int{}
			var near, scattered messageCounts
			queries := 0
			for _, key := range keys {
				for z := range tt.zones {
					local := fmt.Sprintf("z%d", z)
					cost := countMessages(table, key, local, false, load)
					near = maxCounts(near, cost)
					scattered = maxCounts(scattered, countMessages(table, key, local, true, scatteredLoad))
					queries++
				}
			}
			qt.Check(t, near.sliced <= fewZonesMessages, qt.IsTrue)
			qt.Check(t, scattered.sliced <= max(allZonesMessages, tt.zones), qt.IsTrue)
			most := 0
			for _, l := range load {
				most = max(most, l)
			}
			mean := float64(queries*tt.shards) / float64(tt.vms)
			t.Logf("slices %d; most messages: %+v; scattered %d; busiest owner %.1f times the mean, %d owners busy",
				Slices(table.Front(keys[0])), near, scattered.sliced, float64(most)/mean, len(load))
		})
	}
}

func maxCounts(a, b messageCounts) messageCounts {
	return messageCounts{max(a.direct, b.direct), max(a.perShard, b.perShard), max(a.relayed, b.relayed), max(a.sliced, b.sliced)}
}

func sizedTable(vms, zones, shards, replicas, fronts int) (*Table, []cassiaid.FrontKey) {
	settings := map[cassiaid.FrontKey]*cassiaschema.Front{}
	var keys []cassiaid.FrontKey
	for i := range fronts {
		key := cassiaid.FrontKey{Team: "team", Front: cassiaid.FrontName(fmt.Sprintf("f%d", i))}
		settings[key] = testFront(shards, replicas, zones)
		keys = append(keys, key)
	}
	table := NewTable("vm0", "z0", clockwork.NewFakeClock())
	table.Update(MembersChanged{Members: testMembers(vms, zones)})
	table.Update(SettingsChanged{Fronts: settings})
	return table, keys
}

// BenchmarkOwners measures how long it takes to look up the owners of one query's shards once they are cached.
func BenchmarkOwners(b *testing.B) {
	table, keys := sizedTable(590, 4, 76, 2, 30)
	for i := 0; b.Loop(); i++ {
		for shard := range cassiaid.ShardIndex(76) {
			table.Owners(keys[i%len(keys)], shard, "z0")
		}
	}
}

// BenchmarkMembersChanged measures one membership change among 590 VMs, with the owners of every front computed again.
func BenchmarkMembersChanged(b *testing.B) {
	table, keys := sizedTable(590, 4, 76, 2, 30)
	members := testMembers(590, 4)
	for b.Loop() {
		table.Update(MembersChanged{Members: members})
		for _, key := range keys {
			for shard := range cassiaid.ShardIndex(76) {
				table.Owners(key, shard, "z0")
			}
		}
	}
}
