package cassiaguard

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaquarantine"
)

// fakePeers answers inquiries with runsElsewhere and counts the quarantines that are shared.
type fakePeers struct {
	runsElsewhere atomic.Bool
	quarantines   atomic.Int64
}

func (p *fakePeers) ShareLoss(cassiaid.FrontKey, cassiaquarantine.Loss)          {}
func (p *fakePeers) ShareAnswer(cassiaid.FrontKey, cassiaquarantine.ShareAnswer) {}
func (p *fakePeers) RunsElsewhere(cassiaid.FrontKey, cassiaquarantine.Run) bool {
	return p.runsElsewhere.Load()
}
func (p *fakePeers) ShareQuarantine(cassiaquarantine.ShareQuarantine) { p.quarantines.Add(1) }

// guardWithSuspects returns a guard whose requests 1 and 2 have lost target t1 together.
func guardWithSuspects(t *testing.T, peers Peers) *Guard {
	g := NewGuard(clockwork.NewRealClock())
	g.SetPeers(peers)
	for id := range cassiaid.AttemptID(2) {
		qt.Assert(t, g.TryStart(cassiaquarantine.Run{Attempt: id + 1, Fingerprint: cassiaid.Fingerprint(id + 1)}, "t1"), qt.IsTrue)
	}
	for id := range cassiaid.AttemptID(2) {
		g.End(cassiaid.FrontKey{}, id+1, cassiaquarantine.EndingLost)
	}
	return g
}

const testLimit = 100 * time.Millisecond

func startSuspect(t *testing.T, g *Guard, id cassiaid.AttemptID, f cassiaid.Fingerprint, target cassiaid.TargetName) cassiaquarantine.Verdict {
	run := cassiaquarantine.Run{Attempt: id, Fingerprint: f}
	qt.Assert(t, g.TryStart(run, target), qt.IsFalse)
	return g.StartSuspect(t.Context(), cassiaid.FrontKey{}, run, target, testLimit)
}

func TestUnprovenRequestsMayRunTogether(t *testing.T) {
	g := NewGuard(clockwork.NewRealClock())
	for id := range cassiaid.AttemptID(2) {
		qt.Check(t, g.TryStart(cassiaquarantine.Run{Attempt: id, Fingerprint: 1}, "t1"), qt.IsTrue)
	}
}

// TestSuspectsDoNotShareATarget: requests that lost a target together must not be sent to the next one together, which would
// cost the innocent one its second attempt and leave the other one unblamed.
func TestSuspectsDoNotShareATarget(t *testing.T) {
	c := qt.New(t)
	peers := &fakePeers{}
	g := guardWithSuspects(t, peers)
	c.Assert(startSuspect(t, g, 3, 1, "t2"), qt.Equals, cassiaquarantine.VerdictAlone)
	time.AfterFunc(testLimit/4, func() { g.End(cassiaid.FrontKey{}, 3, cassiaquarantine.EndingLost) })
	started := time.Now()
	// The quarantine of the other request explains the loss, so this one is no suspect any more.
	c.Assert(startSuspect(t, g, 4, 2, "t2"), qt.Equals, cassiaquarantine.VerdictRun)
	c.Check(time.Since(started) < testLimit, qt.IsTrue)
	c.Check(g.Remaining(1) > 0, qt.IsTrue)
	c.Check(peers.quarantines.Load(), qt.Equals, int64(1))
}

// TestSuspectThatRunsElsewhereIsWithheld: a request that may crash targets must run at one VM at a time.
func TestSuspectThatRunsElsewhereIsWithheld(t *testing.T) {
	c := qt.New(t)
	peers := &fakePeers{}
	g := guardWithSuspects(t, peers)
	peers.runsElsewhere.Store(true)
	c.Check(startSuspect(t, g, 3, 1, "t2"), qt.Equals, cassiaquarantine.VerdictRefuseNow)
	time.AfterFunc(testLimit/4, func() { peers.runsElsewhere.Store(false) })
	c.Check(startSuspect(t, g, 4, 1, "t2"), qt.Equals, cassiaquarantine.VerdictAlone)
}

// TestAnsweredSuspectIsNotWithheld: a popular request that runs on every VM must be served after a target has ended by itself.
func TestAnsweredSuspectIsNotWithheld(t *testing.T) {
	c := qt.New(t)
	peers := &fakePeers{}
	g := guardWithSuspects(t, peers)
	peers.runsElsewhere.Store(true)
	g.ApplyNotice(cassiaquarantine.AnswerLearned{Fingerprint: 1, BeforeLoss: true})
	c.Check(startSuspect(t, g, 3, 1, "t2"), qt.Equals, cassiaquarantine.VerdictRun)
}
