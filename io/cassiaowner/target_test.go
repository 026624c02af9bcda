package cassiaowner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassialimit"
	"cassiasaddle/core/cassiaschema"
)

// fakeRules owns one target.
type fakeRules struct{ owned OwnedTarget }

func (r *fakeRules) Owned() []OwnedTarget { return nil }
func (r *fakeRules) Accepts(cassiaid.FrontKey, cassiaid.ShardIndex, cassiaid.TargetName) (OwnedTarget, bool) {
	return r.owned, true
}
func (r *fakeRules) Leaving(cassiaid.TargetName) bool { return false }

type fakeObserver struct{}

func (fakeObserver) TargetSeen(*cassiaschema.TargetKnowledge)                {}
func (fakeObserver) ResultSeen(cassiaid.FrontKey, *cassiaschema.ShardResult) {}

func newTestOwner(t *testing.T, rules Rules) *Owner {
	clock := clockwork.NewRealClock()
	o := New(Config{
		Self: "vm-1", Rules: rules, Observer: fakeObserver{}, Quarantine: NewQuarantine(clock, nil), Clock: clock,
		Logger: log.NewNopLogger(), Scope: tally.NoopScope,
	})
	t.Cleanup(func() { qt.Assert(t, o.Close(), qt.IsNil) })
	return o
}

// grow lets a target's limiter find that it may run as many attempts as its bound allows.
func grow(t *target) {
	const rounds, perRound = 8, 16
	id := cassiaid.AttemptID(0)
	for range rounds {
		first := id + 1
		for range perRound {
			id++
			t.limiter.Update(cassialimit.Offer{ID: id, Deadline: time.Now().Add(time.Minute)})
		}
		for i := first; i <= id; i++ {
			t.limiter.Update(cassialimit.Done{ID: i, Outcome: cassiaschema.ShardOutcome_answered, Elapsed: 5 * time.Millisecond})
		}
	}
}

// TestChangedShareKeepsTheLimit: a new share of the connections bounds what the limiter has found and does not undo it.
func TestChangedShareKeepsTheLimit(t *testing.T) {
	c := qt.New(t)
	owned := OwnedTarget{Name: "t", Address: "127.0.0.1:1", Connections: 9}
	o := newTestOwner(t, &fakeRules{})
	before := o.target(owned)
	grow(before)
	c.Assert(before.limiter.Limit(), qt.Equals, 8)
	for _, share := range []struct{ connections, limit int }{{13, 8}, {5, 4}} {
		owned.Connections = share.connections
		c.Check(o.target(owned).limiter.Limit(), qt.Equals, share.limit)
	}
	owned.Address = "127.0.0.1:2"
	c.Check(o.target(owned).limiter.Limit(), qt.Equals, 1)
}
