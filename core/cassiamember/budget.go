package cassiamember

import "time"

// budget is a token bucket of bytes.
type budget struct {
	perSecond int
	burst     int
	tokens    float64
	filled    time.Time
}

// refill adds the tokens earned since the last call.
func (b *budget) refill(now time.Time) {
	if b.filled.IsZero() {
		b.tokens = float64(b.burst)
	} else {
		b.tokens += now.Sub(b.filled).Seconds() * float64(b.perSecond)
	}
	b.tokens = min(b.tokens, float64(b.burst))
	b.filled = now
}

// spend takes bytes; those of probes are taken also when none are left.
func (b *budget) spend(bytes int) { b.tokens = max(b.tokens-float64(bytes), -float64(b.burst)) }

// left returns the bytes that may be spent on more than probes.
func (b *budget) left() int { return max(0, int(b.tokens)) }

// overdrawn tells whether probes and answers have used up the burst a second time.
func (b *budget) overdrawn() bool { return b.tokens <= -float64(b.burst) }

// plenty tells whether more than half of the burst is left.
func (b *budget) plenty() bool { return b.left() > b.burst/2 }
