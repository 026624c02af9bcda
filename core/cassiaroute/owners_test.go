package cassiaroute

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"

	_ "cassiasaddle/test/cassiaseed"
)

var testKey = cassiaid.FrontKey{Team: "team", Front: "front"}

// testFront returns a front whose shards have one target in each of a number of consecutive zones; the first zone
// advances by one with each shard.
func testFront(shards, replicas, zones int) *cassiaschema.Front {
	f := &cassiaschema.Front{Name: "front"}
	for i := range shards {
		s := &cassiaschema.Shard{Name: fmt.Sprintf("s%d", i)}
		for r := range replicas {
			s.Targets = append(s.Targets, &cassiaschema.Target{
				Name:             fmt.Sprintf("t%d-%d", i, r),
				AvailabilityZone: fmt.Sprintf("z%d", (i+r)%zones),
			})
		}
		f.Shards = append(f.Shards, s)
	}
	return f
}

func testMembers(count, zones int) []Member {
	var members []Member
	for i := range count {
		name := cassiaid.VMName(fmt.Sprintf("vm%d", i))
		members = append(members, Member{Name: name, Zone: cassiaid.Zone(fmt.Sprintf("z%d", i%zones))})
	}
	return members
}

func testTable(members []Member, f *cassiaschema.Front) *Table {
	t := NewTable(members[0].Name, members[0].Zone, clockwork.NewFakeClock())
	t.Update(MembersChanged{Members: members})
	t.Update(SettingsChanged{Fronts: map[cassiaid.FrontKey]*cassiaschema.Front{testKey: f}})
	return t
}

func TestShareOf(t *testing.T) {
	tests := []struct {
		connections uint32
		fraction    *float64
		concurrency uint32
		want        Share
	}{
		{want: Share{Owners: 2, Connections: 4, Concurrency: 4}},
		{connections: 100, want: Share{Owners: 2, Connections: 16, Concurrency: 16}},
		{connections: 100, concurrency: 6, want: Share{Owners: 2, Connections: 16, Concurrency: 3}},
		{connections: 6, want: Share{Owners: 2, Connections: 1, Concurrency: 1}},
		{connections: 4, want: Share{Owners: 1, Connections: 1, Concurrency: 1}},
		{connections: 2, want: Share{}},
		{connections: 2, fraction: proto.Float64(1), want: Share{Owners: 1, Connections: 1, Concurrency: 1}},
	}
	for _, tt := range tests {
		limits := &cassiaschema.TargetLimits{
			MaxConnections: tt.connections, ConnectionShare: tt.fraction, MaxConcurrency: tt.concurrency,
		}
		qt.Check(t, ShareOf(limits), qt.Equals, tt.want, qt.Commentf("%v", limits))
	}
	qt.Check(t, ShareOf(nil), qt.Equals, Share{Owners: 2, Connections: 4, Concurrency: 4})
}

// TestConnectionsStayUnderTheCap guards against too many connections to a target while some VMs have learned of a
// membership change and others have not: all VMs that own the target in either view hold their share.
func TestConnectionsStayUnderTheCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := testFront(rapid.IntRange(1, 20).Draw(t, "shards"), 2, 1)
		f.TargetLimits = &cassiaschema.TargetLimits{
			MaxConnections:  uint32(rapid.IntRange(1, 60).Draw(t, "cap")),
			ConnectionShare: proto.Float64(rapid.Float64Range(0.01, 1).Draw(t, "share")),
		}
		old := testMembers(rapid.IntRange(1, 12).Draw(t, "members"), 1)
		for i := range old {
			old[i].Leaving = rapid.Bool().Draw(t, "leaving")
			old[i].Weight = rapid.Float64Range(0, 4).Draw(t, "weight")
		}
		changed := changeOne(t, old)
		shard := cassiaid.ShardIndex(rapid.IntRange(0, len(f.GetShards())-1).Draw(t, "shard"))
		target := cassiaid.TargetName(f.GetShards()[shard].GetTargets()[0].GetName())
		holders := map[cassiaid.VMName]bool{}
		for _, view := range [][]Member{old, changed} {
			for _, vm := range view {
				table := testTable(append([]Member{vm}, without(view, vm)...), f)
				_, accepts := table.Accepts(testKey, shard, target)
				holders[vm.Name] = holders[vm.Name] || accepts
			}
		}
		maps.DeleteFunc(holders, func(_ cassiaid.VMName, accepts bool) bool { return !accepts })
		share := ShareOf(f.GetTargetLimits())
		if sum, allowed := len(holders)*share.Connections, allowedConnections(f.GetTargetLimits()); sum > allowed {
			t.Fatalf("%d connections from %v, allowed %d", sum, holders, allowed)
		}
	})
}

func without(members []Member, m Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(other Member) bool { return other == m })
}

// changeOne returns the members after one has joined, was lost, or has started or stopped leaving.
func changeOne(t *rapid.T, members []Member) []Member {
	changed := append([]Member(nil), members...)
	at := rapid.IntRange(0, len(changed)-1).Draw(t, "changed")
	switch rapid.IntRange(0, 2).Draw(t, "change") {
	case 0:
		return append(changed, Member{Name: "new", Zone: "z0"})
	case 1:
		return append(changed[:at:at], changed[at+1:]...)
	}
	changed[at].Leaving = !changed[at].Leaving
	return changed
}

func TestLeavingVMGetsWorkOnlyWhenAlone(t *testing.T) {
	c := qt.New(t)
	members := testMembers(3, 1)
	members[0].Leaving, members[1].Leaving = true, true
	f := testFront(8, 1, 1)
	c.Assert(testTable(members, f).Owners(testKey, 0, "z0"), qt.DeepEquals, []cassiaid.VMName{"vm2"})
	members[2].Leaving = true
	c.Assert(testTable(members, f).Owners(testKey, 0, "z0"), qt.HasLen, 2)
}

func TestUnreachableOwnerIsRankedLast(t *testing.T) {
	c := qt.New(t)
	table := testTable(testMembers(6, 1), testFront(8, 1, 1))
	owners := table.Owners(testKey, 0, "z0")
	table.Update(OwnerUnreachable{Owner: owners[0]})
	c.Assert(table.Owners(testKey, 0, "z0"), qt.DeepEquals, []cassiaid.VMName{owners[1], owners[0]})
	table.Update(OwnerReachable{Owner: owners[0]})
	c.Assert(table.Owners(testKey, 0, "z0"), qt.DeepEquals, owners)
}
