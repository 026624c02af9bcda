package cassiaroute

import "time"

const (
	// budgetBurst is the most extra requests that a budget saves up.
	budgetBurst = 10
	// budgetStart is what a new budget holds, so that the first queries are not left without.
	budgetStart = 2
)

// Budget allows extra requests in proportion to ordinary ones.
type Budget struct {
	tokens float64
	at     time.Time
	ready  bool
}

// Earn credits a number of ordinary requests at a ratio of extra requests for each.
func (b *Budget) Earn(requests, ratio float64) {
	b.start()
	b.add(requests * ratio)
}

// EarnTime credits the time since the last call at a rate of extra requests a second.
func (b *Budget) EarnTime(now time.Time, perSecond float64) {
	b.start()
	if !b.at.IsZero() && now.After(b.at) {
		b.add(now.Sub(b.at).Seconds() * perSecond)
	}
	b.at = now
}

// Take takes one extra request, or returns false.
func (b *Budget) Take() bool {
	b.start()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) start() {
	if !b.ready {
		b.ready = true
		b.tokens = budgetStart
	}
}

func (b *Budget) add(tokens float64) { b.tokens = min(budgetBurst, b.tokens+tokens) }
