package cassiasettings

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"
)

func newTestPropagation(self cassiaid.VMName, zone cassiaid.Zone) (*Propagation, *testClock) {
	clock := &testClock{now: time.Unix(1_800_000_000, 0)}
	return NewPropagation(Config{Self: self, Zone: zone, Clock: clock, Rand: rand.New(rand.NewPCG(1, 1))}), clock
}

// treeAt returns a valid tree at generation g.
func treeAt(t *testing.T, g cassiaid.Generation) *Tree {
	var tree *Tree
	for tree.Generation() < g {
		tree = mustPropose(t, tree, RootSubtree, rootText("kaffi"))
	}
	return tree
}

func stateAt(t *testing.T, g cassiaid.Generation) *cassiaschema.SettingsState {
	return treeAt(t, g).StateFor(&cassiaschema.SettingsRequest{})
}

// effectsOf returns the effects of type E.
func effectsOf[E Effect](effects []Effect) []E {
	var found []E
	for _, e := range effects {
		if e, ok := e.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// testMembers returns three members at generation g in each zone. Names consist of the zone and a number, such as b2.
func testMembers(zones int, g cassiaid.Generation) []Member {
	var all []Member
	for z := range zones {
		for i := range 3 {
			all = append(all, Member{Name: cassiaid.VMName(fmt.Sprintf("%c%d", 'a'+z, i)),
				Zone: cassiaid.Zone(string(rune('a' + z))), Generation: g})
		}
	}
	return all
}

// nonWatcher returns a member of zone a that is not a watcher.
func nonWatcher(all []Member) cassiaid.VMName {
	for _, m := range all {
		if m.Zone == "a" && !slices.Contains(Watchers(all)["a"], m.Name) {
			return m.Name
		}
	}
	return ""
}

// TestNewVMIsNotLedByOneLaggingPeer checks that a new VM waits for three peers before it installs the highest generation
// among their answers. Otherwise it would start with old settings if the first peer to answer lags behind.
func TestNewVMIsNotLedByOneLaggingPeer(t *testing.T) {
	c := qt.New(t)
	all := testMembers(2, 0)
	p, _ := newTestPropagation(nonWatcher(all), "a")
	pulls := effectsOf[Pull](p.Update(MembersChanged{all}))
	c.Assert(len(pulls), qt.Equals, 3)
	lagging := p.Update(StateReceived{From: pulls[0].From, State: stateAt(t, 5)})
	c.Assert(len(effectsOf[Install](lagging)), qt.Equals, 0)
	c.Assert(p.Tree() == nil, qt.IsTrue)
	c.Assert(len(effectsOf[Install](p.Update(PullFailed{pulls[1].From}))), qt.Equals, 0)
	installs := effectsOf[Install](p.Update(StateReceived{From: pulls[2].From, State: stateAt(t, 7)}))
	c.Assert(len(installs), qt.Equals, 1)
	c.Assert(installs[0].Tree.Generation(), qt.Equals, cassiaid.Generation(7))
}

// TestOnlyWatchersCallTheStore checks that only two VMs of each zone call the store, and that another VM does so only
// after it has had no settings for a while.
func TestOnlyWatchersCallTheStore(t *testing.T) {
	c := qt.New(t)
	all := testMembers(2, 0)
	calls := 0
	for _, m := range all {
		p, clock := newTestPropagation(m.Name, m.Zone)
		effects := p.Update(MembersChanged{all})
		c.Assert(len(effectsOf[ReadHead](effects)) == 1, qt.Equals, p.Watching())
		calls += len(effectsOf[ReadHead](effects))
		if p.Watching() {
			continue
		}
		clock.now = clock.now.Add(storeFallbackDelay + storeFallbackJitter)
		c.Assert(len(effectsOf[ReadHead](p.Update(Tick{}))), qt.Equals, 1)
		p.Update(HeadRead{Call: 1, Head: nil})
		c.Assert(p.Tree() != nil, qt.IsTrue)
		clock.now = clock.now.Add(time.Hour)
		effects = p.Update(Tick{})
		c.Assert(len(effectsOf[ReadHead](effects))+len(effectsOf[WatchHead](effects)), qt.Equals, 0)
	}
	c.Assert(calls, qt.Equals, 2*watchersPerZone)
}

// TestWatcherPushes checks that a watcher pushes a digest to its zone and to the watchers of the other zones, without
// gossip, and that a VM that ceases to be a watcher cancels its watch.
func TestWatcherPushes(t *testing.T) {
	c := qt.New(t)
	all := testMembers(2, 0)
	self := Watchers(all)["a"][0]
	p, _ := newTestPropagation(self, "a")
	p.Update(MembersChanged{all})
	p.Update(HeadRead{Call: 1, Head: nil})
	tree := treeAt(t, 4)
	fetch := effectsOf[FetchEdits](p.Update(HeadRead{Call: 2, Head: tree.Head(), Revision: 9}))
	c.Assert(len(fetch), qt.Equals, 1)
	effects := p.Update(EditsRead{Call: fetch[0].Call, Edits: tree.Edits()})
	c.Assert(len(effectsOf[Install](effects)), qt.Equals, 1)
	c.Assert(effectsOf[WatchHead](effects), qt.DeepEquals, []WatchHead{{Call: 4, After: 9}})
	pushed := effectsOf[PushDigest](effects)[0].To
	want := slices.DeleteFunc([]cassiaid.VMName{"a0", "a1", "a2"}, func(n cassiaid.VMName) bool { return n == self })
	want = append(want, Watchers(all)["b"]...)
	slices.Sort(pushed)
	slices.Sort(want)
	c.Assert(pushed, qt.DeepEquals, want)

	for i := 0; p.Watching(); i++ {
		all = append(all, Member{Name: cassiaid.VMName(fmt.Sprintf("new%d", i)), Zone: "a"})
		effects = p.Update(MembersChanged{all})
	}
	c.Assert(effectsOf[StopWatch](effects), qt.DeepEquals, []StopWatch{{Call: 4}})
}

// TestRejectedGenerationStaysOut checks that an invalid generation is counted and not pulled again, and that a later
// valid generation is still installed. A tree in which a subtree has a lower revision is rejected too.
func TestRejectedGenerationStaysOut(t *testing.T) {
	c := qt.New(t)
	all := testMembers(1, 0)
	p, clock := newTestPropagation(nonWatcher(all), "a")
	good := treeAt(t, 1)
	p.Update(EditAccepted{good})
	bad := &cassiaschema.SettingsEdit{Subtree: "root", Revision: 2, EditId: "bad", Yaml: []byte("nonsense: 1")}
	state := &cassiaschema.SettingsState{Head: nextHead(good.Head(), bad), Edits: []*cassiaschema.SettingsEdit{bad}}
	effects := p.Update(StateReceived{From: "a0", State: state})
	c.Assert(len(effectsOf[Reject](effects)), qt.Equals, 1)
	c.Assert(slices.Contains(effectsOf[Count](effects), Count{CountRejected}), qt.IsTrue)
	c.Assert(p.Tree().Generation(), qt.Equals, cassiaid.Generation(1))
	c.Assert(len(effectsOf[Pull](p.Update(DigestReceived{From: "a0", Generation: 2}))), qt.Equals, 0)
	c.Assert(len(effectsOf[Pull](p.Update(MembersChanged{testMembers(1, 2)}))), qt.Equals, 0)
	c.Assert(len(effectsOf[Reject](p.Update(StateReceived{From: "a0", State: state}))), qt.Equals, 0)

	clock.now = clock.now.Add(pullBackoffLimit)
	c.Assert(len(effectsOf[Pull](p.Update(DigestReceived{From: "a0", Generation: 3}))), qt.Equals, 1)
	effects = p.Update(StateReceived{From: "a0", State: stateAt(t, 3)})
	c.Assert(len(effectsOf[Install](effects)), qt.Equals, 1)

	older := &cassiaschema.SettingsEdit{Subtree: "root", Revision: 2, EditId: "older", Yaml: []byte(rootText("kaffi"))}
	head := &cassiaschema.SettingsHead{Generation: 4, Subtrees: []*cassiaschema.SubtreeHead{
		{Subtree: "root", Revision: 2, EditId: "older"}}}
	effects = p.Update(StateReceived{From: "a0", State: &cassiaschema.SettingsState{Head: head,
		Edits: []*cassiaschema.SettingsEdit{older}}})
	c.Assert(len(effectsOf[Reject](effects)), qt.Equals, 1)
	c.Assert(p.Tree().Revision("root"), qt.Equals, cassiaid.Revision(3))
}

// TestLargeStateComesInParts checks that a state too large for one frame is pulled in several parts and then installed.
func TestLargeStateComesInParts(t *testing.T) {
	c := qt.New(t)
	comment := "#" + string(slices.Repeat([]byte("x"), maxStateBytes*2/3)) + "\n"
	tree := treeAt(t, 1)
	for i := range 4 {
		team := Subtree(fmt.Sprintf("team%d", i))
		tree = mustPropose(t, tree, team, "team: "+string(team)+"\n"+comment)
	}
	all := testMembers(1, tree.Generation())
	p, _ := newTestPropagation("new", "a")
	pulls := effectsOf[Pull](p.Update(MembersChanged{all}))
	answers := 0
	for len(pulls) > 0 {
		answers++
		c.Assert(answers < 20, qt.IsTrue)
		state := tree.StateFor(pulls[0].Request)
		c.Assert(len(state.GetEdits()) <= 2, qt.IsTrue)
		pulls = append(pulls[1:], effectsOf[Pull](p.Update(StateReceived{From: pulls[0].From, State: state}))...)
	}
	c.Assert(p.Tree().Generation(), qt.Equals, tree.Generation())
}

// TestRecoveryBringsNoStampede checks that the pauses grow with each failure up to the limit, and that many watchers do
// not call the store at the same time when it recovers: each calls once, spread over the longest pause.
func TestRecoveryBringsNoStampede(t *testing.T) {
	c := qt.New(t)
	const watchers = 200
	slots := make(map[time.Duration]int)
	for i := range watchers {
		random := rand.New(rand.NewPCG(uint64(i), 3))
		b := backoff{base: storeBackoffBase, limit: storeBackoffLimit}
		now := time.Unix(0, 0)
		var pause time.Duration
		for range 12 {
			pause = b.fail(now, random)
			c.Assert(pause <= storeBackoffLimit, qt.IsTrue)
			c.Assert(b.ready(now.Add(pause-1)), qt.IsFalse)
			now = now.Add(pause)
			c.Assert(b.ready(now), qt.IsTrue)
		}
		c.Assert(pause >= storeBackoffLimit/2, qt.IsTrue)
		outage := time.Unix(0, 0).Add(20 * time.Second)
		for now.Before(outage) {
			now = now.Add(b.fail(now, random))
		}
		slots[now.Sub(outage)/(100*time.Millisecond)]++
	}
	for slot, calls := range slots {
		c.Assert(calls < watchers/8, qt.IsTrue, qt.Commentf("%d calls in the 100 ms from %s", calls, slot*100*time.Millisecond))
	}
}
