package cassiaclaim

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaid"
	"cassiasaddle/core/cassiaplan"
	"cassiasaddle/core/cassiaschema"
)

func TestParseKey(t *testing.T) {
	c := qt.New(t)
	front := cassiaid.FrontKey{Team: "team", Front: "front"}
	k, err := ParseKey(front, "019B76DA-A800-7000-8000-000000000001")
	c.Assert(err, qt.IsNil)
	c.Assert(k.Scoped, qt.Equals, "team/front/019b76da-a800-7000-8000-000000000001")
	c.Assert(k.Time.UTC(), qt.Equals, start)
	_, err = ParseKey(front, "a3bb189e-8bf9-4c2c-9b4a-0a8f4f2d6a11")
	c.Assert(err, qt.ErrorMatches, ".*version 4; send one of version 7.*")
	_, err = ParseKey(front, "order 7")
	c.Assert(err, qt.ErrorMatches, ".*send a UUID of version 7.*")
}

func TestFirstSendWinsAndRepeatLearnsTheAnswer(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(0, 0)
	k := key(1, start)
	first := sim.acquire(sim.claimers[0], k, 5, time.Second)
	second := sim.acquire(sim.claimers[1], k, 5, time.Second)
	sim.runUntilQuiet()
	c.Assert(describeReply(sim.claimers[0].lastReply[first]), qt.Equals, [2]string{"cassiaclaim.Granted"})
	c.Assert(describeReply(sim.claimers[1].lastReply[second]), qt.Equals, refusalPair(cassiaplan.RefusalOutcomeUnknown, cassiaplan.RanUnknown))
	sim.runRequest(sim.claimers[0], sim.claimers[0].held[0])
	sim.runUntilQuiet()
	again := sim.acquire(sim.claimers[1], k, 5, time.Second)
	other := sim.acquire(sim.claimers[1], k, 6, time.Second)
	sim.runUntilQuiet()
	c.Assert(sim.claimers[1].lastReply[again], qt.DeepEquals, Effect(Remembered{ID: again, Answer: []byte("answer of team/front/1")}))
	c.Assert(describeReply(sim.claimers[1].lastReply[other]), qt.Equals, refusalPair(cassiaplan.RefusalBadRequest, cassiaplan.RanNo))
}

func TestOneWriteCarriesTheClaimsOfAGroup(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(0)
	for i := range 100 {
		sim.acquire(sim.claimers[0], key(i, start), 5, time.Second)
	}
	sim.runUntilQuiet()
	c.Assert(sim.claimers[0].held, qt.HasLen, 100)
	c.Assert(sim.store.revision <= 2*bucketsPerWindow, qt.IsTrue)
}

func TestLostReplyIsResolvedByReadingBack(t *testing.T) {
	for _, f := range []fault{replyLost, requestLost, delayed, sentTwice} {
		c := qt.New(t)
		sim := newSimulation(0)
		id := sim.acquire(sim.claimers[0], key(1, start), 5, time.Second)
		sim.completeCall(sim.claimers[0], noFault)
		sim.completeCall(sim.claimers[0], f)
		sim.runUntilQuiet()
		c.Assert(describeReply(sim.claimers[0].lastReply[id]), qt.Equals, [2]string{"cassiaclaim.Granted"})
	}
}

func TestClaimWithoutDispatchIsGivenBack(t *testing.T) {
	for _, f := range []fault{replyLost, requestLost, delayed} {
		c := qt.New(t)
		sim := newSimulation(0, 0)
		k := key(1, start)
		first := sim.acquire(sim.claimers[0], k, 5, 50*time.Millisecond)
		sim.completeCall(sim.claimers[0], noFault)
		sim.completeCall(sim.claimers[0], f)
		sim.now = sim.now.Add(60 * time.Millisecond)
		sim.claimers[0].update(Tick{})
		c.Assert(describeReply(sim.claimers[0].lastReply[first]), qt.Equals, refusalPair(cassiaplan.RefusalNotRun, cassiaplan.RanNo))
		sim.runUntilQuiet()
		for _, g := range sim.delayedWrites {
			sim.store.swap(g)
		}
		second := sim.acquire(sim.claimers[1], k, 5, time.Second)
		sim.runUntilQuiet()
		c.Assert(describeReply(sim.claimers[1].lastReply[second]), qt.Equals, [2]string{"cassiaclaim.Granted"})
	}
}

func TestForwardedClaimIsGivenBackByItsSenderOnly(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(0, 0, 0)
	k := key(1, start)
	sim.forward(sim.claimers[0], sim.claimers[1], k, 50*time.Millisecond)
	sim.completeCall(sim.claimers[1], noFault)
	sim.completeCall(sim.claimers[1], delayed)
	sim.now = sim.now.Add(60 * time.Millisecond)
	sim.claimers[1].update(Tick{})
	c.Assert(sim.claimers[1].lastReply[sim.forwards[0].id].(Denied).Uncertain, qt.IsTrue)
	sim.store.swap(sim.delayedWrites[0])
	sim.runUntilQuiet()
	early := sim.acquire(sim.claimers[2], k, 5, time.Second)
	sim.runUntilQuiet()
	c.Assert(describeReply(sim.claimers[2].lastReply[early]), qt.Equals, refusalPair(cassiaplan.RefusalOutcomeUnknown, cassiaplan.RanUnknown))
	sim.endForward(sim.forwards[0], false)
	sim.runUntilQuiet()
	repeat := sim.acquire(sim.claimers[2], k, 5, time.Second)
	sim.runUntilQuiet()
	c.Assert(describeReply(sim.claimers[2].lastReply[repeat]), qt.Equals, [2]string{"cassiaclaim.Granted"})
}

func TestSameSendAskedForTwiceWinsOnlyWithTheWrite(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(0)
	only := sim.claimers[0]
	sim.forward(only, only, key(1, start), time.Second)
	sim.endForward(sim.forwards[0], true)
	sim.completeCall(only, noFault)
	c.Assert(only.timesEnded, qt.HasLen, 0)
	sim.completeCall(only, requestLost)
	c.Assert(only.timesEnded, qt.HasLen, 0)
	sim.runUntilQuiet()
	c.Assert(only.held, qt.HasLen, 1)
}

func TestOutageRefusesAtOnceAndEnds(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(0)
	first := sim.acquire(sim.claimers[0], key(1, start), 5, 10*time.Second)
	for range 500 {
		sim.now = sim.now.Add(time.Millisecond)
		sim.claimers[0].update(Tick{})
		if len(sim.claimers[0].calls) > 0 {
			sim.completeCall(sim.claimers[0], requestLost)
		}
		if sim.claimers[0].timesEnded[first] > 0 {
			break
		}
	}
	c.Assert(describeReply(sim.claimers[0].lastReply[first]), qt.Equals, refusalPair(cassiaplan.RefusalNotRun, cassiaplan.RanNo))
	second := sim.acquire(sim.claimers[0], key(2, start), 5, 10*time.Second)
	d := sim.claimers[0].lastReply[second].(Denied)
	c.Assert(describeReply(d), qt.Equals, refusalPair(cassiaplan.RefusalNotRun, cassiaplan.RanNo))
	c.Assert(d.Refusal.RetryAfter >= time.Second, qt.IsTrue)
	sim.now = sim.now.Add(maxBackoff)
	third := sim.acquire(sim.claimers[0], key(3, start), 5, 10*time.Second)
	sim.runUntilQuiet()
	c.Assert(describeReply(sim.claimers[0].lastReply[third]), qt.Equals, [2]string{"cassiaclaim.Granted"})
}

func TestExpiryNeverOpensAClaimAgain(t *testing.T) {
	c := qt.New(t)
	ring := ringSlots * windowLength
	sim := newSimulation(0, -2*ring)
	k := key(1, start)
	sim.acquire(sim.claimers[0], k, 5, time.Second)
	sim.runUntilQuiet()
	sim.runRequest(sim.claimers[0], sim.claimers[0].held[0])
	sim.runUntilQuiet()
	sim.now = start.Add(ring)
	// Every bucket of the window that reuses the slot gets a claim.
	for i := range 50 {
		sim.acquire(sim.claimers[0], key(i, sim.now), 5, time.Second)
	}
	sim.runUntilQuiet()
	reused := sim.store.buckets[k.Bucket()].value
	c.Assert(reused.Window, qt.Equals, key(1, sim.now).window())
	for _, claim := range reused.Claims {
		c.Assert(claim.ClaimedUnixMillis >= sim.now.Add(-time.Second).UnixMilli(), qt.IsTrue)
	}
	slow := sim.acquire(sim.claimers[1], k, 5, time.Second)
	sim.runUntilQuiet()
	c.Assert(describeReply(sim.claimers[1].lastReply[slow]), qt.Equals, refusalPair(cassiaplan.RefusalNotRun, cassiaplan.RanNo))
	onTime := sim.acquire(sim.claimers[0], k, 5, time.Second)
	c.Assert(describeReply(sim.claimers[0].lastReply[onTime]), qt.Equals, refusalPair(cassiaplan.RefusalNotRun, cassiaplan.RanNo))
	ahead := sim.acquire(sim.claimers[0], key(1, sim.now.Add(2*maxKeyAhead)), 5, time.Second)
	c.Assert(describeReply(sim.claimers[0].lastReply[ahead]), qt.Equals, refusalPair(cassiaplan.RefusalNotRun, cassiaplan.RanNo))
	c.Assert(len(sim.store.buckets) <= bucketsPerWindow*2, qt.IsTrue)
}

func TestBucketStaysFarBelowAMegabyte(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(0)
	b := &cassiaschema.ClaimBucket{Window: key(1, start).window()}
	for size := 0; size < maxBucketBytes; size += 1 << 10 {
		b.Claims = append(b.Claims, &cassiaschema.Claim{Key: "another", Answer: make([]byte, 1<<10)})
	}
	sim.store.buckets[key(1, start).Bucket()] = stored{value: b, revision: 1}
	sim.store.revision = 1
	id := sim.acquire(sim.claimers[0], key(1, start), 5, time.Second)
	sim.runUntilQuiet()
	c.Assert(describeReply(sim.claimers[0].lastReply[id]), qt.Equals, refusalPair(cassiaplan.RefusalOverloaded, cassiaplan.RanNo))
}
