package cassiabudget

import "time"

// Split divides the slack of an allowance into what a budget saves up and what it regains in a window; a budget can spend both in
// one window, so together they are the whole slack at most. A new budget holds nothing, since an earlier one may have spent its
// own in the same window.
type Split struct {
	Burst  float64
	Refill float64
}

var (
	// Steady suits who sees the requests of all VMs, which come evenly.
	SteadySplit = Split{Burst: 0.15, Refill: 0.85}
	// Saving suits who sees few requests, several of which may need more at once. It leaves a part of the slack for members of a
	// Share that do not see each other.
	Saving = Split{Burst: 0.5, Refill: 0.35}
)

// Metered spends an allowance, which may change at any time; Split is all that it needs.
type Metered struct {
	Split Split
	// MaxIdle is the longest time between two requests that earns repeats; there is no bound when it is zero.
	MaxIdle time.Duration

	budget Budget
}

// Earn credits ordinary requests and the time since the last call.
func (m *Metered) Earn(now time.Time, a Allowance, requests float64) {
	m.budget.setBurst(max(1, m.Split.Burst*a.Slack))
	if m.MaxIdle > 0 {
		m.budget.discardTimeBefore(now.Add(-m.MaxIdle))
	}
	m.budget.EarnTime(now, m.Split.Refill*a.Slack/a.windows(1).Seconds())
	m.budget.Earn(requests, a.Ratio)
}

// Take takes one request beyond the first, or returns false.
func (m *Metered) Take(now time.Time, a Allowance) bool {
	m.Earn(now, a, 0)
	return m.budget.Take()
}
