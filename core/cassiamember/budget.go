package cassiamember

import "time"

// byteBudget is a token bucket of bytes. The number of tokens lies between -burst and burst.
type byteBudget struct {
	perSecond  int
	burst      int
	tokens     float64
	lastRefill time.Time
}

// refill adds the tokens earned since the last call; the first call fills the bucket.
func (b *byteBudget) refill(now time.Time) {
	if b.lastRefill.IsZero() {
		b.tokens = float64(b.burst)
	} else {
		b.tokens += now.Sub(b.lastRefill).Seconds() * float64(b.perSecond)
	}
	b.tokens = min(b.tokens, float64(b.burst))
	b.lastRefill = now
}

// spend takes tokens, also when none are left, since probes are always sent.
func (b *byteBudget) spend(bytes int) { b.tokens = max(b.tokens-float64(bytes), -float64(b.burst)) }

// available returns the bytes that may be spent on anything but probes.
func (b *byteBudget) available() int { return max(0, int(b.tokens)) }

// overdrawn reports whether the tokens have reached their lower bound, -burst.
func (b *byteBudget) overdrawn() bool { return b.tokens <= -float64(b.burst) }

// overHalfFull reports whether more than half of the burst is available.
func (b *byteBudget) overHalfFull() bool { return b.available() > b.burst/2 }
