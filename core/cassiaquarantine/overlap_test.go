package cassiaquarantine

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cassiasaddle/core/cassiaid"
)

// begin starts an attempt as an owner does, which asks the others before a suspect runs.
func (k *cluster) begin(owner int, f cassiaid.Fingerprint, shard cassiaid.ShardIndex) (cassiaid.AttemptID, Verdict) {
	verdict := k.owners[owner].Admit(f, shard)
	if verdict == VerdictWait {
		return 0, verdict
	}
	id := k.start(owner, f, shard)
	for i, other := range k.owners {
		if verdict == VerdictAlone && i != owner && other.Retrying(f, shard) {
			k.update(owner, Ended{Attempt: id})
			return 0, VerdictHold
		}
	}
	return id, verdict
}

func TestUnprovenRequestRunsOneAtATimeUntilItIsAnswered(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1)
	first := k.start(0, 1, 0)
	c.Assert(k.owners[0].Admit(1, 0), qt.Equals, VerdictWait)
	c.Assert(k.owners[0].Admit(1, 3), qt.Equals, VerdictRun)
	c.Assert(k.owners[0].Admit(2, 0), qt.Equals, VerdictRun)
	k.update(0, Ended{Attempt: first, Ending: EndingAnswered})
	k.start(0, 1, 0)
	c.Assert(k.owners[0].Admit(1, 0), qt.Equals, VerdictRun)
}

func TestRequestThatWaitedForALossDoesNotRunBesideOthers(t *testing.T) {
	c := qt.New(t)
	k := newCluster(2)
	first := k.start(0, 1, 0)
	k.start(1, 1, 0)
	k.update(0, Ended{Attempt: first, Ending: EndingLost})
	c.Assert(k.owners[0].Admit(1, 0), qt.Equals, VerdictAlone)
	_, verdict := k.begin(0, 1, 5)
	c.Assert(verdict, qt.Equals, VerdictHold)
}

// TestBoundHoldsForOverlappingCalls has calls of one deadly request overlap in any way: each goes to the owners of the
// request's two probe targets in its own order, then to others for other shards.
func TestBoundHoldsForOverlappingCalls(t *testing.T) {
	type call struct {
		order   []int
		tried   int
		running cassiaid.AttemptID
	}
	rapid.Check(t, func(t *rapid.T) {
		k := newCluster(5, 1)
		calls := make([]call, 6)
		for i := range calls {
			calls[i].order = append(rapid.Permutation([]int{0, 1}).Draw(t, "probes"), rapid.Permutation([]int{2, 3, 4}).Draw(t, "others")...)
		}
		for range 60 {
			l := &calls[rapid.IntRange(0, len(calls)-1).Draw(t, "call")]
			if l.tried == len(l.order) {
				continue
			}
			owner, shard := l.order[l.tried], cassiaid.ShardIndex(max(0, l.tried-1))
			if l.running != 0 {
				k.crashes[1]++
				k.update(owner, Ended{Attempt: l.running, Ending: EndingLost})
				l.running = 0
				l.tried++
				continue
			}
			id, verdict := k.begin(owner, 1, shard)
			l.running = id
			if id == 0 && verdict != VerdictWait {
				l.tried++
			}
		}
		if k.crashes[1] > lossesToBlame {
			t.Fatalf("%d targets crashed", k.crashes[1])
		}
	})
}
