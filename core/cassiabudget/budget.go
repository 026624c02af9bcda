package cassiabudget

import "time"

const (
	// defaultBurst is the most extra requests that a budget without a bound of its own saves up.
	defaultBurst = 10
	// DefaultStart is what a budget without a bound of its own holds at first, so that the first queries are not left without.
	DefaultStart = 2
)

// Budget allows extra requests in proportion to ordinary ones; the zero value saves up 10 and starts with 2.
type Budget struct {
	// burst is the most extra requests that are saved up.
	burst       float64
	tokens      float64
	lastEarned  time.Time
	initialized bool
}

// Earn credits a number of ordinary requests at a ratio of extra requests for each.
func (b *Budget) Earn(requests, ratio float64) {
	b.initialize()
	b.add(requests * ratio)
}

// EarnTime credits the time since the last call at a rate of extra requests a second.
func (b *Budget) EarnTime(now time.Time, perSecond float64) {
	b.initialize()
	if !b.lastEarned.IsZero() && now.After(b.lastEarned) {
		b.add(now.Sub(b.lastEarned).Seconds() * perSecond)
	}
	b.lastEarned = now
}

// skipTo has the time before a moment not earn anything.
func (b *Budget) discardTimeBefore(at time.Time) {
	if !b.lastEarned.IsZero() && b.lastEarned.Before(at) {
		b.lastEarned = at
	}
}

// Take takes one extra request, or returns false.
func (b *Budget) Take() bool {
	b.initialize()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// bound replaces the most that is saved up; a budget that is bounded before its first use starts with nothing.
func (b *Budget) setBurst(burst float64) {
	b.initialized = true
	b.burst = burst
}

func (b *Budget) initialize() {
	if !b.initialized {
		b.initialized = true
		b.burst = defaultBurst
		b.tokens = DefaultStart
	}
}

func (b *Budget) add(tokens float64) { b.tokens = min(b.burst, b.tokens+tokens) }
