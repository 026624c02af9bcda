package cassiaclaim

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "cassiasaddle/test/cassiaseed"
)

// uniform draws a number below 32, each with the same probability; rapid's integers prefer small numbers.
func uniform(t *rapid.T, label string) int {
	n := 0
	for range 5 {
		n *= 2
		if rapid.Bool().Draw(t, label) {
			n++
		}
	}
	return n
}

// ringPeriod is the time after which a bucket is reused.
const ringPeriod = ringSlots * windowLength

// keysOfOneBucket are keys of two windows, one ring period apart, that share a bucket.
var keysOfOneBucket = func() []Key {
	keys := []Key{key(0, start)}
	for n := 1; len(keys) < 6; n++ {
		k := key(n, start.Add(time.Duration(len(keys)/3)*ringPeriod))
		if k.Bucket() == keys[0].Bucket() {
			keys = append(keys, k)
		}
	}
	return keys
}()

// drawStep draws one event and applies it: a message, the end of a call or of a forwarded Acquire, a delayed write that
// takes effect, a crash or the passing of time.
func drawStep(t *rapid.T, sim *simulation) {
	i := uniform(t, "claimer") % len(sim.claimers)
	c := sim.claimers[i]
	switch n := uniform(t, "step"); {
	case n < 8:
		k := keysOfOneBucket[uniform(t, "key")%len(keysOfOneBucket)]
		sim.acquire(c, k, 5, time.Duration(10*(1+uniform(t, "within")))*time.Millisecond)
	case n < 18 && len(c.calls) > 0:
		sim.completeCall(c, drawFault(t))
	case n < 22 && len(c.held) > 0:
		h := c.held[0]
		c.held = c.held[1:]
		sim.useClaim(t, c, h)
	case n == 22 && len(sim.delayedWrites) > 0:
		sim.store.swap(sim.delayedWrites[0])
		sim.delayedWrites = sim.delayedWrites[1:]
	case n == 23 && len(c.acquires) > 0:
		sim.abandon(t, c)
	case n == 24:
		sim.claimers[i] = sim.crash(c)
	case n == 25:
		k := keysOfOneBucket[uniform(t, "key")%len(keysOfOneBucket)]
		sim.forward(c, sim.claimers[uniform(t, "through")%len(sim.claimers)], k, time.Duration(10*(1+uniform(t, "within")))*time.Millisecond)
	case n == 26 && len(sim.forwards) > 0:
		f := sim.forwards[0]
		sim.forwards = sim.forwards[1:]
		sim.endForward(f, rapid.Bool().Draw(t, "lost"))
	case n == 27 && uniform(t, "leap") == 0:
		sim.now = sim.now.Add(ringPeriod / 2)
	default:
		sim.now = sim.now.Add(time.Duration(1+uniform(t, "pause")) * time.Millisecond)
		c.update(Tick{})
	}
}

// drawFault draws a fault for three calls in eight.
func drawFault(t *rapid.T) fault {
	n := uniform(t, "fault")
	if n >= 12 {
		return noFault
	}
	return fault(1 + n%4)
}

func (sim *simulation) abandon(t *rapid.T, c *claimer) {
	id := ClaimID(rapid.IntRange(1, int(sim.nextID)).Draw(t, "abandoned"))
	if _, own := c.acquires[id]; own && c.timesEnded[id] == 0 {
		c.timesEnded[id]++
		c.update(Abandon{ID: id})
	}
}

// crash replaces a claimer; the writes that it had in progress may still take effect.
func (sim *simulation) crash(c *claimer) *claimer {
	for _, call := range c.calls {
		if write, ok := call.(WriteBucket); ok {
			sim.delayedWrites = append(sim.delayedWrites, write)
		}
	}
	return sim.newClaimer(c.ledger.clock.(skewedClock).skew)
}

// useClaim runs the request of a granted claim, even after its deadline, or releases the claim.
func (sim *simulation) useClaim(t *rapid.T, c *claimer, h heldClaim) {
	if rapid.Bool().Draw(t, "run") {
		sim.runRequest(c, h)
		return
	}
	c.update(RecordOutcome{Key: h.acquire.Key, BodyHash: h.acquire.BodyHash, Nonce: h.nonce, Outcome: 2})
}

func checkSchedule(t *rapid.T) {
	skew := rapid.SampledFrom([]time.Duration{ringPeriod, 0, -5 * time.Minute}).Draw(t, "skew")
	sim := newSimulation(0, 0, skew)
	for range 20 * rapid.IntRange(0, 12).Draw(t, "steps") {
		drawStep(t, sim)
		sim.checkInvariants(t)
	}
	sim.runUntilQuiet()
	sim.checkInvariants(t)
	for _, c := range sim.claimers {
		for id := range c.acquires {
			if c.timesEnded[id] != 1 {
				t.Fatalf("acquire %d ended %d times, want once", id, c.timesEnded[id])
			}
		}
	}
}

func (sim *simulation) checkInvariants(t *rapid.T) {
	for k, n := range sim.runs {
		if n > 1 {
			t.Fatalf("%s ran %d times, want at most once", k, n)
		}
	}
	for _, c := range sim.claimers {
		for id, e := range c.lastReply {
			if _, ok := e.(Remembered); ok && sim.runs[c.acquires[id].Key.Scoped] == 0 {
				t.Fatalf("an answer of %s is remembered, but it never ran", c.acquires[id].Key.Scoped)
			}
			if c.timesEnded[id] > 1 {
				t.Fatalf("acquire %d ended twice", id)
			}
		}
	}
}

func TestAnySchedule(t *testing.T) { rapid.Check(t, checkSchedule) }

func FuzzSchedule(f *testing.F) {
	for _, seed := range []string{"", "cassiasaddle", "\x04\x00\x10\x20\x40\x80\xff\x01\x02\x03\x05\x08\x0d\x15\x22\x37"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(rapid.MakeFuzz(checkSchedule))
}
