package cassiabudget

import "time"

// Split divides the slack of an allowance between the maximum number of tokens and the tokens added per window. A budget can
// spend both within one window, so the two fractions must not exceed 1 together. A new budget starts without tokens because the
// budget that it replaces after a restart may have spent its tokens in the same window.
type Split struct {
	// Burst is the fraction of the slack that a budget holds at most; it holds up to one token even if the fraction is less.
	Burst float64
	// Refill is the fraction of the slack that is added per window.
	Refill float64
}

var (
	// SteadySplit is for an aggregator: it sends the attempts of many VMs, which arrive at a steady rate.
	SteadySplit = Split{Burst: 0.15, Refill: 0.85}
	// BurstySplit is for a VM that sends only its own attempts: these are few, and several may need an extra request at the same
	// time. Its fractions add up to less than 1 as a reserve: while two members do not have each other on their lists yet, the
	// fractions that Share computes for them can add up to more than 1.
	BurstySplit = Split{Burst: 0.5, Refill: 0.35}
)

// Metered is a Budget that is refilled from an Allowance. The allowance is passed to each call and may change between calls. Only
// Split has to be set before use. A Metered is not safe for concurrent use.
type Metered struct {
	Split Split
	// MaxIdle is the longest time between two calls for which tokens are added; a longer gap counts as MaxIdle. Zero means no
	// limit.
	MaxIdle time.Duration

	budget Budget
}

// Earn adds tokens for a number of first attempts and for the time since the last call of Earn or Take.
func (m *Metered) Earn(now time.Time, a Allowance, requests float64) {
	m.budget.setBurst(max(1, m.Split.Burst*a.Slack))
	if m.MaxIdle > 0 {
		m.budget.discardTimeBefore(now.Add(-m.MaxIdle))
	}
	m.budget.EarnTime(now, m.Split.Refill*a.Slack/a.windows(1).Seconds())
	m.budget.Earn(requests, a.Ratio)
}

// Take adds the tokens for the time since the last call and removes the token for one extra request; it returns false when less
// than one token is left.
func (m *Metered) Take(now time.Time, a Allowance) bool {
	m.Earn(now, a, 0)
	return m.budget.Take()
}
