package cassiabudget

import "time"

const (
	// defaultBurst is the maximum number of tokens of a Budget on which setBurst was not called.
	defaultBurst = 10
	// InitialTokens is the initial number of tokens of a Budget on which setBurst was not called. It is not zero so that the
	// first queries can be hedged or retried.
	InitialTokens = 2
)

// Budget is a token bucket: each first attempt adds a fraction of a token and each extra request takes one token. The zero value
// starts with 2 tokens and holds at most 10. A Budget is not safe for concurrent use.
type Budget struct {
	// burst is the maximum number of tokens.
	burst       float64
	tokens      float64
	lastEarned  time.Time
	initialized bool
}

// Earn adds ratio tokens for each of a number of first attempts.
func (b *Budget) Earn(requests, ratio float64) {
	b.initialize()
	b.add(requests * ratio)
}

// EarnTime adds perSecond tokens for each second since the last call; the first call adds none.
func (b *Budget) EarnTime(now time.Time, perSecond float64) {
	b.initialize()
	if !b.lastEarned.IsZero() && now.After(b.lastEarned) {
		b.add(now.Sub(b.lastEarned).Seconds() * perSecond)
	}
	b.lastEarned = now
}

// discardTimeBefore makes the next EarnTime add nothing for the time before at.
func (b *Budget) discardTimeBefore(at time.Time) {
	if !b.lastEarned.IsZero() && b.lastEarned.Before(at) {
		b.lastEarned = at
	}
}

// Take removes the token for one extra request; it returns false when less than one token is left.
func (b *Budget) Take() bool {
	b.initialize()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// setBurst sets the maximum number of tokens. A budget on which it is called before any other method starts without tokens.
func (b *Budget) setBurst(burst float64) {
	b.initialized = true
	b.burst = burst
}

func (b *Budget) initialize() {
	if !b.initialized {
		b.initialized = true
		b.burst = defaultBurst
		b.tokens = InitialTokens
	}
}

func (b *Budget) add(tokens float64) { b.tokens = min(b.burst, b.tokens+tokens) }
