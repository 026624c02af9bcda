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

// fastTuning makes a small group find out in well under a second.
var fastTuning = cassiamember.Tuning{ProbeInterval: 200 * time.Millisecond, AckTimeout: 60 * time.Millisecond, ReviveInterval: 300 * time.Millisecond}

// group runs VMs on loopback that find each other through the first one.
type group struct {
	*qt.C
	ctx     context.Context
	running errgroup.Group
	first   cassiamember.Seed
}

// running is one VM of a group.
type running struct {
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

// start runs a VM with the given key.
func (g *group) start(name, zone, key string) *running {
	file := filepath.Join(g.TempDir(), "key")
	g.Assert(os.WriteFile(file, []byte(key), 0o600), qt.IsNil)
	r := &running{scope: tally.NewTestScope("", nil)}
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

// eventually polls a condition until it holds.
func (g *group) eventually(what string, condition func() bool) {
	g.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			g.Fatalf("not in time: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// states returns the members as this VM sees them, such as "a=alive b=leaving".
func (r *running) states() string {
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
	for _, r := range []*running{a, b, c} {
		g.eventually("all joined", func() bool { return r.states() == "a=alive b=alive c=alive" })
	}
	b.Leave()
	for _, r := range []*running{a, b, c} {
		g.eventually("leaving known", func() bool { return r.states() == "a=alive b=leaving c=alive" })
	}
	b.cancel()
	for _, r := range []*running{a, c} {
		g.eventually("gone known", func() bool { return r.states() == "a=alive c=alive" })
	}
}
