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

// drawStep draws one event and applies it: a message, the end of a call, a crash or the passing of time.
func drawStep(t *rapid.T, w *simulation) {
	i := uniform(t, "claimer") % len(w.claimers)
	c := w.claimers[i]
	switch n := uniform(t, "step"); {
	case n < 8:
		k := keysOfOneBucket[uniform(t, "key")%len(keysOfOneBucket)]
		w.ask(c, k, 5, time.Duration(10*(1+uniform(t, "within")))*time.Millisecond)
	case n < 18 && len(c.calls) > 0:
		w.completeCall(c, drawFault(t))
	case n < 22 && len(c.held) > 0:
		h := c.held[0]
		c.held = c.held[1:]
		w.useClaim(t, c, h)
	case n == 22 && len(w.delayedWrites) > 0:
		w.store.swap(w.delayedWrites[0])
		w.delayedWrites = w.delayedWrites[1:]
	case n == 23 && len(c.asks) > 0:
		w.abandon(t, c)
	case n == 24:
		w.claimers[i] = w.crash(c)
	case n == 25:
		k := keysOfOneBucket[uniform(t, "key")%len(keysOfOneBucket)]
		w.forward(c, w.claimers[uniform(t, "through")%len(w.claimers)], k, time.Duration(10*(1+uniform(t, "within")))*time.Millisecond)
	case n == 26 && len(w.forwards) > 0:
		f := w.forwards[0]
		w.forwards = w.forwards[1:]
		w.endForward(f, rapid.Bool().Draw(t, "lost"))
	case n == 27 && uniform(t, "leap") == 0:
		w.now = w.now.Add(ringPeriod / 2)
	default:
		w.now = w.now.Add(time.Duration(1+uniform(t, "pause")) * time.Millisecond)
		c.update(Tick{})
	}
}

// drawFault draws a fault for one call in three.
func drawFault(t *rapid.T) fault {
	n := uniform(t, "fault")
	if n >= 12 {
		return noFault
	}
	return fault(1 + n%4)
}

func (w *simulation) abandon(t *rapid.T, c *claimer) {
	id := ClaimID(rapid.IntRange(1, int(w.nextID)).Draw(t, "abandoned"))
	if _, own := c.asks[id]; own && c.timesEnded[id] == 0 {
		c.timesEnded[id]++
		c.update(Abandon{ID: id})
	}
}

// crash replaces a claimer; the writes that it had in progress may still take effect.
func (w *simulation) crash(c *claimer) *claimer {
	for _, call := range c.calls {
		if write, ok := call.(WriteBucket); ok {
			w.delayedWrites = append(w.delayedWrites, write)
		}
	}
	return w.newClaimer(c.ledger.clock.(skewedClock).skew)
}

// useClaim runs the request of a granted claim, even when it is late, or releases the claim.
func (w *simulation) useClaim(t *rapid.T, c *claimer, h heldClaim) {
	if rapid.Bool().Draw(t, "run") {
		w.runRequest(c, h)
		return
	}
	c.update(Settle{Key: h.ask.Key, BodyHash: h.ask.BodyHash, Nonce: h.nonce, Outcome: 2})
}

func checkSchedule(t *rapid.T) {
	skew := rapid.SampledFrom([]time.Duration{ringPeriod, 0, -5 * time.Minute}).Draw(t, "skew")
	w := newSimulation(0, 0, skew)
	for range 20 * rapid.IntRange(0, 12).Draw(t, "steps") {
		drawStep(t, w)
		w.checkInvariants(t)
	}
	w.runUntilQuiet()
	w.checkInvariants(t)
	for _, c := range w.claimers {
		for id := range c.asks {
			if c.timesEnded[id] != 1 {
				t.Fatalf("ask %d ended %d times", id, c.timesEnded[id])
			}
		}
	}
}

func (w *simulation) checkInvariants(t *rapid.T) {
	for k, n := range w.runs {
		if n > 1 {
			t.Fatalf("%s ran %d times", k, n)
		}
	}
	for _, c := range w.claimers {
		for id, e := range c.lastReply {
			if _, ok := e.(Remembered); ok && w.runs[c.asks[id].Key.Scoped] == 0 {
				t.Fatalf("an answer of %s is remembered, but it never ran", c.asks[id].Key.Scoped)
			}
			if c.timesEnded[id] > 1 {
				t.Fatalf("ask %d ended twice", id)
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
