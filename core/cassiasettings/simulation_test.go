package cassiasettings

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaschema"

	_ "cassiasaddle/test/cassiaseed"
)

type testClock struct{ now time.Time }

func (c *testClock) Now() time.Time { return c.now }

// storeState is one state of the settings in the simulated store.
type storeState struct {
	head  *cassiaschema.SettingsHead
	valid bool
}

// testVM is a VM of a simulation. Each restart gives it a new incarnation.
type testVM struct {
	name               cassiaid.VMName
	zone               cassiaid.Zone
	p                  *Propagation
	incarnation        int
	paused             bool
	knownMembers       []Member
	watch              *WatchHead
	storeCallsInFlight int
	installed          cassiaid.Generation
	ready              bool
	pullsServed        int
}

// delivery is a message or call in transit. Its run may add further deliveries.
type delivery struct{ run func() }

// simulation connects VMs through a network that may reorder, delay or lose messages and deliver old answers again, and
// with a store that has outages.
type simulation struct {
	t       rapid.TB
	clock   *testClock
	vms     []*testVM
	pending []delivery
	states  []storeState
	edits   Edits
	// invalidEdits holds the edits with invalid text, which no VM may put in force.
	invalidEdits map[EditID]bool
	storeUp      bool
	cutZone      cassiaid.Zone
	traffic      traffic
}

// traffic counts the messages, bytes and store calls of a simulation.
type traffic struct{ digests, pulls, maxPullsServed, stateBytes, storeCalls int }

func newSimulation(t rapid.TB, vms, zones int, seed uint64) *simulation {
	w := &simulation{t: t, clock: &testClock{now: time.Unix(1_800_000_000, 0)}, storeUp: true,
		edits: make(Edits), invalidEdits: make(map[EditID]bool), states: []storeState{{valid: true}}}
	for i := range vms {
		v := &testVM{name: cassiaid.VMName(fmt.Sprintf("vm%d", i)), zone: cassiaid.Zone(fmt.Sprintf("zone%d", i%zones))}
		w.vms = append(w.vms, v)
		w.start(v, seed+uint64(i))
	}
	for _, v := range w.vms {
		w.gossip(v)
	}
	return w
}

func (w *simulation) start(v *testVM, seed uint64) {
	v.incarnation++
	v.installed, v.ready, v.watch, v.paused, v.knownMembers, v.storeCallsInFlight = 0, false, nil, false, nil, 0
	v.p = NewPropagation(Config{Self: v.name, Zone: v.zone, Clock: w.clock, Rand: rand.New(rand.NewPCG(seed, 7))})
}

func (w *simulation) reachable(a, b *testVM) bool {
	return !b.paused && (a.zone == b.zone || a.zone != w.cutZone && b.zone != w.cutZone)
}

// gossip sends a VM the members that it can reach, with their current generations.
func (w *simulation) gossip(v *testVM) {
	v.knownMembers = nil
	for _, o := range w.vms {
		if w.reachable(v, o) {
			v.knownMembers = append(v.knownMembers, Member{Name: o.name, Zone: o.zone, Generation: o.p.Tree().Generation()})
		}
	}
	w.update(v, MembersChanged{Members: v.knownMembers})
}

func (w *simulation) update(v *testVM, m Message) {
	for _, effect := range v.p.Update(m) {
		w.perform(v, effect)
	}
}

// enqueue queues a message for a VM. It is dropped if the VM has restarted by the time of delivery.
func (w *simulation) enqueue(v *testVM, m Message) {
	incarnation := v.incarnation
	var d delivery
	d.run = func() {
		switch {
		case v.incarnation != incarnation:
		case v.paused:
			w.pending = append(w.pending, d)
		default:
			w.update(v, m)
		}
	}
	w.pending = append(w.pending, d)
}

func (w *simulation) perform(v *testVM, effect Effect) {
	switch e := effect.(type) {
	case Install:
		w.checkInstalled(v, e.Tree)
	case PushDigest:
		for _, to := range e.To {
			if o := w.vm(to); w.reachable(v, o) {
				w.traffic.digests++
				w.enqueue(o, DigestReceived{From: v.name, Generation: e.Generation})
			}
		}
	case Pull:
		w.pending = append(w.pending, delivery{func() { w.answerPull(v, w.vm(e.From), e) }})
	case ReadHead:
		w.callStore(v, e.Call, func() Message { return w.headRead(e.Call) })
	case FetchEdits:
		w.callStore(v, e.Call, func() Message {
			var edits []*cassiaschema.SettingsEdit
			for _, s := range e.Subtrees {
				edits = append(edits, w.edits[EditID(s.GetEditId())])
			}
			return EditsRead{Call: e.Call, Edits: edits}
		})
	case WatchHead:
		w.traffic.storeCalls++
		v.storeCallsInFlight++
		v.watch = &e
	case StopWatch:
		v.watch = nil
		v.storeCallsInFlight--
	}
	if v.storeCallsInFlight > 1 {
		w.t.Fatalf("%s has %d store calls in flight, want at most 1", v.name, v.storeCallsInFlight)
	}
}

func (w *simulation) vm(name cassiaid.VMName) *testVM {
	return w.vms[slices.IndexFunc(w.vms, func(v *testVM) bool { return v.name == name })]
}

func (w *simulation) answerPull(v, from *testVM, e Pull) {
	if !w.reachable(v, from) {
		w.enqueue(v, PullFailed{From: from.name})
		return
	}
	state := from.p.Tree().StateFor(e.Request)
	w.traffic.pulls++
	from.pullsServed++
	w.traffic.maxPullsServed = max(w.traffic.maxPullsServed, from.pullsServed)
	w.traffic.stateBytes += proto.Size(state)
	w.enqueue(v, StateReceived{From: from.name, State: state})
}

func (w *simulation) callStore(v *testVM, call CallID, answer func() Message) {
	w.traffic.storeCalls++
	v.storeCallsInFlight++
	incarnation := v.incarnation
	w.pending = append(w.pending, delivery{func() {
		if v.incarnation != incarnation {
			return
		}
		v.storeCallsInFlight--
		if !w.storeUp || v.zone == w.cutZone {
			w.enqueue(v, StoreFailed{Call: call})
			return
		}
		w.enqueue(v, answer())
	}})
}

func (w *simulation) headRead(call CallID) HeadRead {
	revision := len(w.states) - 1
	return HeadRead{Call: call, Head: w.states[revision].head, Revision: uint64(revision)}
}

// completeWatches answers the watches that have a newer head, and fails those that cannot reach the store.
func (w *simulation) completeWatches() {
	for _, v := range w.vms {
		if v.watch == nil {
			continue
		}
		e := *v.watch
		switch {
		case !w.storeUp || v.zone == w.cutZone:
			v.watch = nil
			v.storeCallsInFlight--
			w.enqueue(v, StoreFailed{Call: e.Call})
		case uint64(len(w.states)-1) > e.After:
			v.watch = nil
			v.storeCallsInFlight--
			w.enqueue(v, w.headRead(e.Call))
		}
	}
}

// accept adds a state to the store. An invalid state represents one written by faulty or newer software.
func (w *simulation) accept(subtree Subtree, valid bool) {
	yaml := teamWith("kaffi", string(subtree))
	if subtree == RootSubtree {
		yaml = rootText("kaffi", "te", fmt.Sprintf("extra%d", len(w.states)))
	}
	if subtree == "te" {
		yaml = "team: te\n"
	}
	if !valid {
		yaml = "unknown: true\n"
	}
	head := &cassiaschema.SettingsHead{}
	if before := w.states[len(w.states)-1].head; before != nil {
		head = proto.Clone(before).(*cassiaschema.SettingsHead)
	}
	edit := &cassiaschema.SettingsEdit{Subtree: string(subtree), EditId: fmt.Sprintf("edit%d", len(w.states)), Yaml: []byte(yaml), Revision: 1}
	for _, s := range head.GetSubtrees() {
		if s.GetSubtree() == string(subtree) {
			edit.Revision = s.GetRevision() + 1
		}
	}
	w.edits[EditID(edit.GetEditId())] = edit
	w.invalidEdits[EditID(edit.GetEditId())] = !valid
	head = nextHead(head, edit)
	w.states = append(w.states, storeState{head: head, valid: w.valid(head)})
}

// valid reports whether a state is valid, without using the code under test: it has no invalid text, and it has fronts
// only together with the root that lists their team.
func (w *simulation) valid(head *cassiaschema.SettingsHead) bool {
	present := make(map[string]bool)
	for _, s := range head.GetSubtrees() {
		if w.invalidEdits[EditID(s.GetEditId())] {
			return false
		}
		present[s.GetSubtree()] = true
	}
	return present[string(RootSubtree)] || !present["kaffi"]
}

// checkInstalled fails the test if a VM installs a tree that is not newer than its last one, that differs from the stored
// one or is invalid, or, on a new VM, that is older than a valid generation of a known member.
func (w *simulation) checkInstalled(v *testVM, tree *Tree) {
	g := tree.Generation()
	if v.ready && g <= v.installed {
		w.t.Fatalf("%s installed generation %[3]d, want one above %[2]d", v.name, v.installed, g)
	}
	state := w.states[g]
	if !state.valid {
		w.t.Fatalf("%s installed the invalid generation %d", v.name, g)
	}
	if g > 0 && !proto.Equal(state.head, tree.Head()) {
		w.t.Fatalf("%s installed a head at generation %d that differs from the stored head", v.name, g)
	}
	for _, s := range tree.Head().GetSubtrees() {
		if tree.Edit(Subtree(s.GetSubtree())) != w.edits[EditID(s.GetEditId())] {
			w.t.Fatalf("%s installed an edit of %s at generation %d that differs from the stored edit", v.name, s.GetSubtree(), g)
		}
	}
	if !v.ready {
		for _, m := range v.knownMembers {
			if m.Name != v.name && m.Generation > g && w.states[m.Generation].valid {
				w.t.Fatalf("%s started with generation %d although %s reported %d", v.name, g, m.Name, m.Generation)
			}
		}
	}
	v.ready, v.installed = true, g
}

// deliver runs one pending delivery and removes it from the pending ones unless keep is set.
func (w *simulation) deliver(i int, keep bool) {
	d := w.pending[i]
	if !keep {
		w.pending = slices.Delete(w.pending, i, i+1)
	}
	d.run()
}

// runFor advances the time by d and delivers every message in order.
func (w *simulation) runFor(d time.Duration) {
	const step = 200 * time.Millisecond
	for passed := time.Duration(0); passed < d; passed += step {
		w.clock.now = w.clock.now.Add(step)
		if passed%time.Second == 0 {
			for _, v := range w.vms {
				w.gossip(v)
			}
		}
		for _, v := range w.vms {
			w.update(v, Tick{})
		}
		w.completeWatches()
		for rounds := 0; len(w.pending) > 0; rounds++ {
			if rounds > 10_000 {
				w.t.Fatalf("messages are still pending after 10,000 deliveries in one step")
			}
			w.deliver(0, false)
			w.completeWatches()
		}
	}
}

func (w *simulation) heal() {
	w.storeUp, w.cutZone = true, ""
	for _, v := range w.vms {
		v.paused = false
	}
}

func (w *simulation) requireGeneration(g cassiaid.Generation) {
	for _, v := range w.vms {
		if !v.ready || v.installed != g {
			w.t.Fatalf("%s has generation %d (ready %t), want %d", v.name, v.installed, v.ready, g)
		}
	}
}

func (w *simulation) generation() cassiaid.Generation { return cassiaid.Generation(len(w.states) - 1) }

// TestNoScheduleRevertsSettings checks that no VM returns to an earlier generation or installs an invalid one, and that
// all VMs have the last generation ten seconds after they can all reach each other again, and a later one five seconds
// after it was accepted. It generates lost, late and reordered messages, old answers that arrive again, store outages,
// cut zones, paused and restarted VMs, and invalid states.
func TestNoScheduleRevertsSettings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		w := newSimulation(t, rapid.IntRange(2, 9).Draw(t, "vms"), zones, 1)
		pick := func(t *rapid.T) *testVM { return w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")] }
		message := func(t *rapid.T) int {
			if len(w.pending) == 0 {
				t.Skip("no message")
			}
			return rapid.IntRange(0, len(w.pending)-1).Draw(t, "message")
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				w.accept(rapid.SampledFrom([]Subtree{RootSubtree, "kaffi", "te"}).Draw(t, "subtree"),
					rapid.IntRange(0, 3).Draw(t, "valid") > 0)
			},
			"acceptHere": func(t *rapid.T) {
				v := pick(t)
				w.accept(RootSubtree, true)
				if tree, err := Build(w.states[w.generation()].head, w.edits, nil); err == nil && !v.paused {
					w.update(v, EditAccepted{Tree: tree})
				}
			},
			"deliver":  func(t *rapid.T) { w.deliver(message(t), false) },
			"deliver2": func(t *rapid.T) { w.deliver(message(t), false) },
			"tick": func(t *rapid.T) {
				w.clock.now = w.clock.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				if v := pick(t); !v.paused {
					w.update(v, Tick{})
				}
				w.completeWatches()
			},
			"gossip": func(t *rapid.T) {
				if v := pick(t); !v.paused {
					w.gossip(v)
				}
			},
			"straggler": func(t *rapid.T) {
				v, g := pick(t), cassiaid.Generation(rapid.IntRange(0, len(w.states)-1).Draw(t, "generation"))
				from := pick(t)
				if tree, err := Build(w.states[g].head, w.edits, nil); err == nil {
					w.enqueue(v, StateReceived{From: from.name, State: tree.StateFor(&cassiaschema.SettingsRequest{})})
					w.enqueue(v, HeadRead{Head: w.states[g].head, Revision: uint64(g)})
				}
			},
			"pause":   func(t *rapid.T) { pick(t).paused = true },
			"resume":  func(t *rapid.T) { pick(t).paused = false },
			"store":   func(*rapid.T) { w.storeUp = !w.storeUp },
			"cut":     func(t *rapid.T) { w.cutZone = pick(t).zone },
			"heal":    func(*rapid.T) { w.cutZone = "" },
			"restart": func(t *rapid.T) { v := pick(t); w.start(v, uint64(len(w.pending))); w.gossip(v) },
		})
		w.heal()
		w.accept("kaffi", true)
		w.accept(RootSubtree, true)
		w.accept("te", true)
		w.runFor(10 * time.Second)
		w.requireGeneration(w.generation())
		w.accept("te", true)
		w.runFor(5 * time.Second)
		w.requireGeneration(w.generation())
	})
}

// maxChildren is the maximum number of VMs to which one VM pushes digests: as first parent its own children, as second
// parent those of the next VM, and the second watcher also those of the first.
const maxChildren = 3 * childrenPerVM

// TestTrafficOfAnEdit limits the traffic of one edit in fleets of growing size, without gossip after the edit: each VM
// pulls it once from one of its few parents, and only watchers call the store.
func TestTrafficOfAnEdit(t *testing.T) {
	const zones = 8
	for _, vms := range []int{16, 64, 148, 296, 590} {
		w := newSimulation(t, vms, zones, 1)
		w.accept(RootSubtree, true)
		w.accept("kaffi", true)
		w.runFor(3 * time.Second)
		w.requireGeneration(2)
		w.traffic = traffic{}
		for _, v := range w.vms {
			v.pullsServed = 0
		}
		w.accept("kaffi", true)
		w.runFor(time.Second)
		w.requireGeneration(3)
		got := w.traffic
		t.Logf("%d VMs: %d digests, %d pulls, at most %d from one VM, %d bytes of settings, %d store calls", vms,
			got.digests, got.pulls, got.maxPullsServed, got.stateBytes, got.storeCalls)
		watchers := zones * watchersPerZone
		if got.pulls > vms || got.maxPullsServed > maxChildren || got.digests > 2*vms+watchers*watchers ||
			got.storeCalls > 2*watchers {
			t.Errorf("%d VMs: an edit exceeded the traffic limits: %+v", vms, got)
		}
	}
}

// TestTreeOfAZone checks that every VM except the watchers has two parents in the distribution tree of its zone, and that
// the watchers have none.
func TestTreeOfAZone(t *testing.T) {
	for size := 1; size < 80; size++ {
		var all []Member
		for i := range size {
			all = append(all, Member{Name: cassiaid.VMName(fmt.Sprintf("vm%d", i)), Zone: "a"})
		}
		parentCounts := make(map[cassiaid.VMName]int)
		for _, m := range all {
			names := children(all, "a", m.Name)
			if len(names) > maxChildren {
				t.Fatalf("%d VMs: %s has %d children, more than maxChildren", size, m.Name, len(names))
			}
			for _, name := range names {
				parentCounts[name]++
			}
		}
		for _, m := range all {
			if watcher := slices.Contains(Watchers(all)["a"], m.Name); !watcher && parentCounts[m.Name] != 2 || watcher && parentCounts[m.Name] != 0 {
				t.Fatalf("%d VMs: %s has %d parents, want 2, or 0 for a watcher", size, m.Name, parentCounts[m.Name])
			}
		}
	}
}

// BenchmarkMembersChanged measures the cost of a membership change at the design size of 590 VMs.
func BenchmarkMembersChanged(b *testing.B) {
	w := newSimulation(b, 590, 8, 1)
	w.accept(RootSubtree, true)
	w.runFor(time.Second)
	v := w.vms[0]
	for b.Loop() {
		v.p.Update(MembersChanged{Members: v.knownMembers})
	}
}

// BenchmarkTick measures the cost of a tick at the design size of 590 VMs.
func BenchmarkTick(b *testing.B) {
	w := newSimulation(b, 590, 8, 1)
	w.accept(RootSubtree, true)
	w.runFor(time.Second)
	for b.Loop() {
		w.vms[0].p.Update(Tick{})
	}
}
