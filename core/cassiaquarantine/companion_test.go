package cassiaquarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cassiasaddle/core/cassiaid"
)

// startOn starts an attempt on a target that several VMs send to.
func (k *cluster) startOn(owner int, f cassiaid.Fingerprint, target cassiaid.TargetName) cassiaid.AttemptID {
	k.next++
	run := Run{Attempt: k.next, Fingerprint: f, Alone: k.owners[owner].Admit(f, 0) == VerdictAlone}
	k.update(owner, Started{Run: run, Target: target})
	return k.next
}

// TestPopularCompanionDoesNotHideADeadlyRequest: a popular request runs on every target. It must not keep the request that
// crashes them from being blamed, since it is answered elsewhere.
func TestPopularCompanionDoesNotHideADeadlyRequest(t *testing.T) {
	c := qt.New(t)
	k := newCluster(2)
	const deadly, popular = 1, 2
	for _, target := range []cassiaid.TargetName{"t1", "t2"} {
		lost := []cassiaid.AttemptID{k.startOn(0, deadly, target), k.startOn(0, popular, target)}
		for _, id := range lost {
			k.update(0, Ended{Attempt: id, Ending: EndingLost})
		}
	}
	c.Assert(k.quarantined, qt.HasLen, 0)
	k.update(1, Ended{Attempt: k.startOn(1, popular, "t3"), Ending: EndingAnswered})
	c.Check(k.quarantined, qt.DeepEquals, map[cassiaid.Fingerprint]bool{deadly: true})
	for _, owner := range k.owners {
		c.Check(owner.Admit(popular, 0), qt.Equals, VerdictRun)
	}
}

// TestCrashThatTwoVMsReportCountsOnce: two VMs run a new popular request on one target, which ends by itself.
func TestCrashThatTwoVMsReportCountsOnce(t *testing.T) {
	c := qt.New(t)
	k := newCluster(2)
	first, second := k.startOn(0, 1, "t1"), k.startOn(1, 1, "t1")
	k.update(0, Ended{Attempt: first, Ending: EndingLost})
	k.update(1, Ended{Attempt: second, Ending: EndingLost})
	c.Assert(k.quarantined, qt.HasLen, 0)
	k.clock.Advance(time.Second)
	k.update(0, Ended{Attempt: k.startOn(0, 1, "t2"), Ending: EndingLost})
	c.Assert(k.quarantined, qt.HasLen, 1)
}

// TestCompanionsOnOtherVMsAreKnown: two VMs send different requests to the same two targets, which crash. The VM that reports
// its loss second knows from the first report what else ran.
func TestCompanionsOnOtherVMsAreKnown(t *testing.T) {
	c := qt.New(t)
	k := newCluster(2)
	const deadly, innocent = 1, 2
	for _, target := range []cassiaid.TargetName{"t1", "t2"} {
		first, second := k.startOn(0, innocent, target), k.startOn(1, deadly, target)
		k.update(1, Ended{Attempt: second, Ending: EndingLost})
		k.update(0, Ended{Attempt: first, Ending: EndingLost})
		k.clock.Advance(time.Second)
	}
	c.Check(k.quarantined[innocent], qt.IsFalse)
}

// TestAnsweredRequestThatBecomesDeadlyIsBlamed: answers within Window must not protect a request for long whose later runs
// crash targets, also where other requests always run beside it.
func TestAnsweredRequestThatBecomesDeadlyIsBlamed(t *testing.T) {
	c := qt.New(t)
	k := newCluster(2)
	const deadly = 1
	c.Assert(k.run(0, deadly, 0), qt.IsTrue)
	for crash := range 3 {
		target := targetOf(crash, 9)
		companion := k.startOn(crash%2, cassiaid.Fingerprint(10+crash), target)
		lost := k.startOn(crash%2, deadly, target)
		k.update(crash%2, Ended{Attempt: lost, Ending: EndingLost})
		k.update(crash%2, Ended{Attempt: companion, Ending: EndingLost})
		k.clock.Advance(time.Second)
	}
	c.Check(k.quarantined[deadly], qt.IsTrue)
}

// TestRememberedQuarantinesAreBounded guards against memory that grows with the number of requests that were ever quarantined.
func TestRememberedQuarantinesAreBounded(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1)
	for f := range cassiaid.Fingerprint(3 * maxPeriods) {
		k.owners[0].Update(QuarantineLearned{Fingerprint: f, Remaining: time.Minute})
		k.clock.Advance(time.Millisecond)
	}
	c.Check(len(k.owners[0].periods) <= maxPeriods, qt.IsTrue)
	c.Check(k.owners[0].Remaining(3*maxPeriods-1) > 0, qt.IsTrue)
	c.Check(len(k.owners[0].Active()) <= maxPeriods, qt.IsTrue)
}

// TestCrashUnderSeveralRunsOfARequestCountsOnce guards against a request that a caller sends several times at once being blamed for
// the first target that ends.
func TestCrashUnderSeveralRunsOfARequestCountsOnce(t *testing.T) {
	c := qt.New(t)
	runs := []Run{{Attempt: 1, Fingerprint: 1, Content: 2}, {Attempt: 2, Fingerprint: 1, Content: 2}, {Attempt: 3, Fingerprint: 1, Content: 2}}
	local, learned := NewQuarantine(clockwork.NewFakeClock()), NewQuarantine(clockwork.NewFakeClock())
	for _, r := range runs {
		local.Update(Started{Run: r, Target: "t1"})
	}
	for _, r := range runs {
		local.Update(Ended{Attempt: r.Attempt, Ending: EndingLost})
	}
	learned.Update(LossLearned{Loss: Loss{Target: "t1", Reporter: "vm-1", Runs: runs}})
	for _, q := range []*Quarantine{local, learned} {
		c.Check(q.Remaining(1), qt.Equals, time.Duration(0))
		q.Update(LossLearned{Loss: Loss{Target: "t2", Reporter: "vm-2", Runs: []Run{{Attempt: 4, Fingerprint: 1, Content: 2}}}})
		c.Check(q.Remaining(1) > 0, qt.IsTrue)
	}
}

// TestLossThatIsToldLaterKeepsItsTime guards against one crash counting twice because a VM tells of it long after another one.
func TestLossThatIsToldLaterKeepsItsTime(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	q := NewQuarantine(clock)
	q.Update(LossLearned{Loss: Loss{Target: "t1", Reporter: "vm-1", Runs: []Run{{Attempt: 1, Fingerprint: 1}}}})
	clock.Advance(5 * time.Second)
	late := LossLearned{Loss: Loss{Target: "t1", Reporter: "vm-2", Runs: []Run{{Attempt: 2, Fingerprint: 1}}}, Age: 5 * time.Second}
	q.Update(late)
	c.Check(q.Remaining(1), qt.Equals, time.Duration(0))
	told := q.LossesOf(1)
	c.Assert(told, qt.HasLen, 2)
	c.Check(told[1], qt.DeepEquals, late)
	q.Update(LossLearned{Loss: Loss{Target: "t2", Reporter: "vm-1", Runs: []Run{{Attempt: 3, Fingerprint: 1}}}})
	c.Check(q.Remaining(1) > 0, qt.IsTrue)
	c.Check(q.LossesOf(1), qt.HasLen, 0)
}
