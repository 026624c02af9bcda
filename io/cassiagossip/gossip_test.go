package cassiagossip

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiamember"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fastTuning shortens the intervals, so that a small group detects changes in well under a second.
var fastTuning = cassiamember.Tuning{ProbeInterval: 200 * time.Millisecond, AckTimeout: 60 * time.Millisecond, ReviveInterval: 300 * time.Millisecond}

// group runs VMs on the loopback interface, with the first one as the seed of the others.
type group struct {
	*qt.C
	ctx     context.Context
	running errgroup.Group
	first   cassiamember.Seed
}

// testVM is one VM of a group.
type testVM struct {
	*Gossip
	scope  tally.TestScope
	cancel context.CancelFunc
}

func newGroup(t *testing.T) *group {
	g := &group{C: qt.New(t)}
	ctx, cancel := context.WithCancel(context.Background())
	g.ctx = ctx
	t.Cleanup(func() {
		cancel()
		g.Check(g.running.Wait(), qt.IsNil)
	})
	return g
}

// start runs a VM with the given name, availability zone and cluster key.
func (g *group) start(name, zone, key string) *testVM {
	file := filepath.Join(g.TempDir(), "key")
	g.Assert(os.WriteFile(file, []byte(key), 0o600), qt.IsNil)
	r := &testVM{scope: tally.NewTestScope("", nil)}
	seeds := SeedsFunc(func(context.Context) ([]cassiamember.Seed, error) { return []cassiamember.Seed{g.first}, nil })
	gossip, err := New(Config{
		Name: cassiaid.VMName(name), Zone: cassiaid.Zone(zone), PeerAddress: "127.0.0.1:1", GossipAddress: "127.0.0.1:0", ClusterKeyFile: file,
	}, WithSeeds(seeds), WithMetrics(r.scope), WithTuning(fastTuning))
	g.Assert(err, qt.IsNil)
	r.Gossip = gossip
	if g.first.Name == "" {
		g.first = cassiamember.Seed{Name: cassiaid.VMName(name), GossipAddress: cassiamember.Address(gossip.Address())}
	}
	ctx, cancel := context.WithCancel(g.ctx)
	r.cancel = cancel
	g.running.Go(func() error { return gossip.Run(ctx) })
	return r
}

// eventually polls a condition until it holds, and fails the test after 20 seconds.
func (g *group) eventually(what string, condition func() bool) {
	g.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			g.Fatalf("condition not met within 20s: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// states returns this VM's view of the members, such as "a=alive b=leaving".
func (r *testVM) states() string {
	var states []string
	for _, m := range r.Members() {
		states = append(states, string(m.Name)+"="+m.State.String())
	}
	return strings.Join(states, " ")
}

const (
	testKey  = "0123456789abcdef0123456789abcdef"
	otherKey = "fedcba9876543210fedcba9876543210"
)

func TestJoinLeaveStop(t *testing.T) {
	g := newGroup(t)
	a, b, c := g.start("a", "one", testKey), g.start("b", "one", testKey), g.start("c", "two", testKey)
	for _, r := range []*testVM{a, b, c} {
		g.eventually("all joined", func() bool { return r.states() == "a=alive b=alive c=alive" })
	}
	b.Leave()
	for _, r := range []*testVM{a, b, c} {
		g.eventually("b seen as leaving", func() bool { return r.states() == "a=alive b=leaving c=alive" })
	}
	b.cancel()
	for _, r := range []*testVM{a, c} {
		g.eventually("b removed", func() bool { return r.states() == "a=alive c=alive" })
	}
}

// counter returns the sum of the counters with a name and, if reason is not empty, with that reason.
func (r *testVM) counter(name, reason string) int64 {
	var sum int64
	for _, counter := range r.scope.Snapshot().Counters() {
		if counter.Name() == "gossip."+name && (reason == "" || counter.Tags()["reason"] == reason) {
			sum += counter.Value()
		}
	}
	return sum
}

func TestWithoutKeyRefused(t *testing.T) {
	g := newGroup(t)
	a, b := g.start("a", "one", testKey), g.start("b", "one", testKey)
	intruder := g.start("intruder", "one", otherKey)
	g.eventually("joined", func() bool { return b.states() == "a=alive b=alive" })
	g.eventually("refused datagram counted", func() bool { return a.counter("refused", "badSeal") > 0 })
	g.Assert(intruder.states(), qt.Equals, "intruder=alive")
	g.Assert(a.states(), qt.Equals, "a=alive b=alive")
}

func TestNewsReachesSubscribers(t *testing.T) {
	g := newGroup(t)
	a, b := g.start("a", "one", testKey), g.start("b", "two", testKey)
	notified := make(chan string, 16)
	b.Subscribe(Subscriber{
		PeerSettings: func(name cassiaid.VMName, generation cassiaid.Generation) {
			if generation == 7 {
				notified <- "settings of " + string(name)
			}
		},
		Quarantine: func(fingerprint cassiaid.Fingerprint, _ time.Duration) {
			if fingerprint == 8 {
				notified <- "quarantine"
			}
		},
		TargetNotice: func(target cassiaid.TargetName, leaving bool, _ time.Duration) {
			if leaving {
				notified <- "leaving " + string(target)
			}
		},
	})
	g.eventually("joined", func() bool { return a.states() == "a=alive b=alive" })
	a.SetSettingsGeneration(7)
	a.AddQuarantine(8, time.Minute)
	a.AddLeavingTarget("target-9", true, time.Minute)
	seen := map[string]bool{}
	for range 3 {
		select {
		case notice := <-notified:
			seen[notice] = true
		case <-time.After(20 * time.Second):
			g.Fatalf("subscriber called only for %v", seen)
		}
	}
	g.Assert(seen, qt.DeepEquals, map[string]bool{"settings of a": true, "quarantine": true, "leaving target-9": true})
}

func TestSilentStopNoticed(t *testing.T) {
	g := newGroup(t)
	a, b, c := g.start("a", "one", testKey), g.start("b", "one", testKey), g.start("c", "two", testKey)
	g.eventually("joined", func() bool { return a.states() == "a=alive b=alive c=alive" && b.states() == a.states() })
	c.keys.mu.Lock()
	c.keys.keys = parseKeys(g, otherKey)
	c.keys.mu.Unlock()
	g.eventually("declared dead", func() bool { return a.states() == "a=alive b=alive" && b.states() == a.states() })
	g.Assert(a.counter("declaredDead", "")+b.counter("declaredDead", "") > 0, qt.IsTrue)
}

func parseKeys(g *group, line string) []ringKey {
	keys, err := (&keyring{}).parse(line)
	g.Assert(err, qt.IsNil)
	return keys
}
