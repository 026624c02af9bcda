package cassiaquarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"cassiasaddle/core/cassiaid"
)

const (
	testContent  cassiaid.Fingerprint = 1000
	otherContent cassiaid.Fingerprint = 2000
)

// startContent starts an attempt of a caller's request with a content on a target, or returns 0 if it may not run.
func (k *cluster) startContent(owner int, caller, content cassiaid.Fingerprint, target cassiaid.TargetName) cassiaid.AttemptID {
	k.next++
	run := Run{Attempt: k.next, Fingerprint: caller, Content: content}
	switch k.owners[owner].AdmitRun(run) {
	case VerdictQuarantined, VerdictRefuseNow:
		return 0
	case VerdictAlone:
		run.Alone = true
	}
	k.update(owner, Started{Run: run, Target: target})
	return run.Attempt
}

// crash runs a caller's request with a content on a target of its own, which crashes, and reports whether it was started.
func (k *cluster) crash(owner int, caller, content cassiaid.Fingerprint) bool {
	id := k.startContent(owner, caller, content, targetOf(int(k.next), 0))
	if id == 0 {
		return false
	}
	k.update(owner, Ended{Attempt: id, Ending: EndingLost})
	k.clock.Advance(300 * time.Millisecond)
	return true
}

// TestCallersOfOneDeadlyContentCrashThreeTargets guards against a deadly request that gets two more targets with each address that
// its caller sends it from.
func TestCallersOfOneDeadlyContentCrashThreeTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := rapid.IntRange(1, 6).Draw(t, "owners")
		k := newCluster(owners)
		crashes := 0
		for range 60 {
			owner := rapid.IntRange(0, owners-1).Draw(t, "owner")
			caller := cassiaid.Fingerprint(rapid.IntRange(1, 30).Draw(t, "caller"))
			if k.crash(owner, caller, testContent) {
				crashes++
			}
		}
		if crashes > contentLossesToQuarantine {
			t.Fatalf("%d targets crashed, want at most contentLossesToQuarantine", crashes)
		}
	})
}

// TestQuarantinedContentNeedsOneMoreLoss guards against a content that gets several targets each time its quarantine ends.
func TestQuarantinedContentNeedsOneMoreLoss(t *testing.T) {
	c := qt.New(t)
	k := newCluster(2)
	for caller := range cassiaid.Fingerprint(contentLossesToQuarantine) {
		c.Assert(k.crash(0, caller+1, testContent), qt.IsTrue)
	}
	c.Assert(k.crash(1, 50, testContent), qt.IsFalse)
	k.clock.Advance(baseQuarantine)
	c.Assert(k.crash(1, 51, testContent), qt.IsTrue)
	c.Assert(k.crash(0, 52, testContent), qt.IsFalse)
	c.Check(k.owners[0].Remaining(testContent) > baseQuarantine, qt.IsTrue)
}

// TestAnsweredContentIsNotBlamed guards against one caller's header having the requests of all callers refused: what is in the
// content does not crash targets that answer it.
func TestAnsweredContentIsNotBlamed(t *testing.T) {
	c := qt.New(t)
	k := newCluster(3)
	for caller := range cassiaid.Fingerprint(6) {
		answered := k.startContent(1, 100, testContent, "t-well")
		k.update(1, Ended{Attempt: answered, Ending: EndingAnswered})
		k.crash(0, caller+1, testContent)
	}
	c.Check(k.owners[2].Remaining(testContent), qt.Equals, time.Duration(0))
	c.Check(k.owners[2].AdmitRun(Run{Fingerprint: 101, Content: testContent}), qt.Equals, VerdictRun)
}

// TestContentOfOneCallerIsNotBlamed: the losses of one caller may come from its headers.
func TestContentOfOneCallerIsNotBlamed(t *testing.T) {
	c := qt.New(t)
	k := newCluster(2)
	for range 4 {
		k.crash(0, 1, testContent)
	}
	c.Check(k.owners[1].Remaining(1) > 0, qt.IsTrue)
	c.Check(k.owners[1].Remaining(testContent), qt.Equals, time.Duration(0))
	c.Check(k.owners[1].AdmitRun(Run{Fingerprint: 2, Content: testContent}), qt.Equals, VerdictAlone)
}

// TestRunsOnOneTargetAreOneLossOfTheirContent guards against a content being blamed for one crash under several callers.
func TestRunsOnOneTargetAreOneLossOfTheirContent(t *testing.T) {
	c := qt.New(t)
	k := newCluster(2)
	var runs []cassiaid.AttemptID
	for caller := range cassiaid.Fingerprint(5) {
		runs = append(runs, k.startContent(int(caller%2), caller+1, testContent, "t1"))
	}
	for i, id := range runs {
		k.update(i%2, Ended{Attempt: id, Ending: EndingLost})
	}
	c.Check(k.owners[0].Remaining(testContent), qt.Equals, time.Duration(0))
}

// TestCompanionOfChangingCallersIsNotBlamed guards against an innocent request being blamed because the callers of the deadly
// content that ran beside it differ.
func TestCompanionOfChangingCallersIsNotBlamed(t *testing.T) {
	c := qt.New(t)
	k := newCluster(2)
	const innocent = 77
	for i, target := range []cassiaid.TargetName{"t1", "t2"} {
		beside := k.startOn(0, innocent, target)
		deadly := k.startContent(1, cassiaid.Fingerprint(i+1), testContent, target)
		k.update(1, Ended{Attempt: deadly, Ending: EndingLost})
		k.update(0, Ended{Attempt: beside, Ending: EndingLost})
		k.clock.Advance(time.Second)
	}
	c.Check(k.owners[0].Remaining(innocent), qt.Equals, time.Duration(0))
}

// TestPopularContentWhoseTargetsEndIsNotBlamed: many callers send a content while targets end by themselves under it, beside
// another content. One VM answers it, the others learn of that when they report a loss.
func TestPopularContentWhoseTargetsEndIsNotBlamed(t *testing.T) {
	c := qt.New(t)
	k := newCluster(3)
	for i := range 20 {
		caller := cassiaid.Fingerprint(i + 1)
		id := k.startContent(0, caller, testContent, "t-well")
		k.update(0, Ended{Attempt: id, Ending: EndingAnswered})
		target := targetOf(i, 1)
		lost := k.startContent(1+i%2, caller+100, testContent, target)
		beside := k.startContent(1+i%2, caller+200, otherContent, target)
		c.Assert(lost, qt.Not(qt.Equals), cassiaid.AttemptID(0))
		for _, id := range []cassiaid.AttemptID{lost, beside} {
			k.update(1+i%2, Ended{Attempt: id, Ending: EndingLost})
		}
		k.clock.Advance(500 * time.Millisecond)
	}
	for _, owner := range k.owners {
		c.Check(owner.Remaining(testContent), qt.Equals, time.Duration(0))
	}
}

// TestBlamedCompanionDoesNotHideADeadlyContent guards against a deadly content going free because a VM that did not know of it blamed
// a request that ran beside it on all lost targets.
func TestBlamedCompanionDoesNotHideADeadlyContent(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	q := NewQuarantine(clock)
	lose := func(target cassiaid.TargetName, reporter cassiaid.VMName, attempt cassiaid.AttemptID, caller, content cassiaid.Fingerprint) {
		run := Run{Attempt: attempt, Fingerprint: caller, Content: content}
		q.Update(LossLearned{Loss: Loss{Target: target, Reporter: reporter, Runs: []Run{run}}})
	}
	for i, target := range []cassiaid.TargetName{"t1", "t2"} {
		lose(target, "vm-0", cassiaid.AttemptID(2*i+1), 1, testContent)
		lose(target, "vm-2", cassiaid.AttemptID(2*i+2), 5, otherContent)
		clock.Advance(time.Second)
	}
	q.Update(QuarantineLearned{Fingerprint: 5, Remaining: time.Minute})
	lose("t3", "vm-0", 10, 2, testContent)
	c.Check(q.Remaining(testContent) > 0, qt.IsTrue)
}

// TestBlamedCompanionDoesNotFreeAFanOut guards against a deadly fan-out losing a second target of each shard at once because a VM
// that did not know of it blamed a request that ran beside it on all lost targets.
func TestBlamedCompanionDoesNotFreeAFanOut(t *testing.T) {
	c := qt.New(t)
	const shards, deadly, harmless = 4, 1, 5
	q := NewQuarantine(clockwork.NewFakeClock())
	run := func(attempt cassiaid.AttemptID, shard cassiaid.ShardIndex) Run {
		return Run{Attempt: attempt, Fingerprint: deadly, Content: testContent, Shard: shard}
	}
	for shard := range cassiaid.ShardIndex(shards) {
		q.Update(Started{Run: run(cassiaid.AttemptID(shard)+1, shard), Target: targetOf(int(shard), 0)})
	}
	for shard := range cassiaid.ShardIndex(shards) {
		beside := Run{Attempt: cassiaid.AttemptID(shard) + 101, Fingerprint: harmless, Content: otherContent, Shard: shard}
		q.Update(LossLearned{Loss: Loss{Target: targetOf(int(shard), 0), Reporter: "vm-2", Runs: []Run{beside}}})
		for _, e := range q.Update(Ended{Attempt: cassiaid.AttemptID(shard) + 1, Ending: EndingLost}) {
			if share, ok := e.(ShareLoss); ok {
				q.Update(LossShared(share))
			}
		}
	}
	q.Update(QuarantineLearned{Fingerprint: harmless, Remaining: time.Minute})
	admitted := 0
	for shard := range cassiaid.ShardIndex(shards) {
		next := run(cassiaid.AttemptID(shard)+11, shard)
		if verdict := q.AdmitRun(next); verdict == VerdictRun || verdict == VerdictAlone {
			next.Alone = verdict == VerdictAlone
			q.Update(Started{Run: next, Target: targetOf(int(shard), 1)})
			admitted++
		}
	}
	c.Check(admitted, qt.Equals, 1)
}
