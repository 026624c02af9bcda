package cassiaquarantine

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cassiasaddle/core/cassiaid"
)

// begin starts an attempt as an owner does, which asks the others before a suspect runs.
func (k *cluster) startAsOwner(owner int, f cassiaid.Fingerprint, shard cassiaid.ShardIndex) (cassiaid.AttemptID, Verdict) {
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
	_, verdict := k.startAsOwner(0, 1, 5)
	c.Assert(verdict, qt.Equals, VerdictHold)
}

// notice is a loss on its way to one owner.
type notice struct {
	to   int
	loss *pendingLoss
}

// lossOnItsWay is a loss that its owner is telling the others.
type pendingLoss struct {
	owner, pendingNotices int
	loss                  Loss
	// call is the one that learns of the loss when all owners know.
	call *overlappingCall
}

// overlapping is a call that tries owners in its own order.
type overlappingCall struct {
	order           []int
	tried           int
	running         cassiaid.AttemptID
	waitsForNotices bool
}

// step starts, or ends by a loss, the call's next attempt, and returns the loss's notices.
func (l *overlappingCall) step(k *cluster) []notice {
	if l.waitsForNotices || l.tried == len(l.order) {
		return nil
	}
	owner, shard := l.order[l.tried], cassiaid.ShardIndex(max(0, l.tried-1))
	if l.running == 0 {
		id, verdict := k.startAsOwner(owner, 1, shard)
		l.running = id
		switch {
		case verdict == VerdictRefuse:
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

// deliver brings a notice; the call goes on once all owners know of its loss.
func (n notice) deliver(k *cluster) {
	k.owners[n.to].Update(LossLearned{Loss: n.loss.loss})
	if n.loss.pendingNotices--; n.loss.pendingNotices == 0 {
		k.owners[n.loss.owner].Update(LossShared{Loss: n.loss.loss})
		n.loss.call.waitsForNotices = false
		n.loss.call.tried++
	}
}

// TestBoundHoldsForOverlappingCalls has calls of one deadly request overlap in any way, while notices of losses arrive in any
// order and quarantines are not told: each call goes to the owners of the request's two probe targets in its own order, then
// to others for other shards.
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
			t.Fatalf("%d targets crashed", k.crashes[1])
		}
	})
}
