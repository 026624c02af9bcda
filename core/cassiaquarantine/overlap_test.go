package cassiaquarantine

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cassiasaddle/core/cassiaid"
)

// startAsOwner starts an attempt like an owner does: it asks the other owners before it runs a suspect.
func (k *cluster) startAsOwner(owner int, f cassiaid.Fingerprint, shard cassiaid.ShardIndex) (cassiaid.AttemptID, Verdict) {
	verdict := k.owners[owner].Admit(f, shard)
	if verdict == VerdictWait {
		return 0, verdict
	}
	id := k.start(owner, f, shard)
	for i, other := range k.owners {
		if verdict == VerdictAlone && i != owner && other.BlocksOtherVMs(f, shard) {
			k.update(owner, Ended{Attempt: id})
			return 0, VerdictRefuseNow
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
	_, verdict := k.startAsOwner(0, 1, 5)
	c.Assert(verdict, qt.Equals, VerdictRefuseNow)
}

// notice is a message about a loss that has not reached its owner yet.
type notice struct {
	to   int
	loss *pendingLoss
}

// pendingLoss is a loss of which not all other owners have been notified.
type pendingLoss struct {
	owner, pendingNotices int
	loss                  Loss
	// call is the call whose attempt was lost; it continues when all owners have been notified.
	call *overlappingCall
}

// overlappingCall is a call that tries the owners one after the other in the given order.
type overlappingCall struct {
	order           []int
	tried           int
	running         cassiaid.AttemptID
	waitsForNotices bool
}

// step starts the call's next attempt, or ends the running one with the loss of its target and returns the notices of the loss.
func (l *overlappingCall) step(k *cluster) []notice {
	if l.waitsForNotices || l.tried == len(l.order) {
		return nil
	}
	owner, shard := l.order[l.tried], cassiaid.ShardIndex(max(0, l.tried-1))
	if l.running == 0 {
		id, verdict := k.startAsOwner(owner, 1, shard)
		l.running = id
		switch {
		case verdict == VerdictQuarantined:
			l.tried = len(l.order)
		case id == 0 && verdict != VerdictWait:
			l.tried++
		}
		return nil
	}
	k.crashes[1]++
	var notices []notice
	for _, e := range k.owners[owner].Update(Ended{Attempt: l.running, Ending: EndingLost}) {
		if e, ok := e.(ShareLoss); ok {
			loss := &pendingLoss{owner: owner, pendingNotices: len(k.owners) - 1, loss: e.Loss, call: l}
			for to := range k.owners {
				if to != owner {
					notices = append(notices, notice{to: to, loss: loss})
				}
			}
		}
	}
	l.running, l.waitsForNotices = 0, true
	return notices
}

// deliver delivers a notice; the call continues once all owners have been notified of its loss.
func (n notice) deliver(k *cluster) {
	learned := n.loss.loss
	learned.Reporter = ownerName(n.loss.owner)
	k.owners[n.to].Update(LossLearned{Loss: learned})
	if n.loss.pendingNotices--; n.loss.pendingNotices == 0 {
		k.owners[n.loss.owner].Update(LossShared{Loss: n.loss.loss})
		n.loss.call.waitsForNotices = false
		n.loss.call.tried++
	}
}

// TestBoundHoldsForOverlappingCalls guards against a deadly request that crashes more than lossesToQuarantine targets because its
// calls overlap, notices of losses arrive in any order and quarantines do not reach the other owners. Each call tries the owners of
// the request's two probe targets, the only targets of the first shard that all calls try, in random order, then the other owners
// for other shards.
func TestBoundHoldsForOverlappingCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newCluster(5, 1)
		calls := make([]overlappingCall, 6)
		for i := range calls {
			probes, others := rapid.Permutation([]int{0, 1}).Draw(t, "probes"), rapid.Permutation([]int{2, 3, 4}).Draw(t, "others")
			calls[i].order = append(probes, others...)
		}
		var notices []notice
		for range 80 {
			at := rapid.IntRange(0, len(calls)+len(notices)-1).Draw(t, "step")
			if at < len(calls) {
				notices = append(notices, calls[at].step(k)...)
				continue
			}
			at -= len(calls)
			notices[at].deliver(k)
			notices = append(notices[:at:at], notices[at+1:]...)
		}
		if k.crashes[1] > lossesToQuarantine {
			t.Fatalf("%d targets crashed, want at most lossesToQuarantine", k.crashes[1])
		}
	})
}
