package cassiabudget

import "time"

// defaultWindow is the window of an allowance that names none.
const defaultWindow = 10 * time.Second

// Split divides the slack of an allowance into what a budget holds at first, what it saves up and what it regains in a window. In
// the window of a restart a budget can spend all three; together they stay near the whole slack, which the tests of this package
// hold with several restarts.
type Split struct {
	Start  float64
	Burst  float64
	Regain float64
}

var (
	// Steady suits who sees the requests of all VMs, which come evenly.
	Steady = Split{Start: 0.1, Burst: 0.15, Regain: 0.75}
	// Saving suits who sees few requests, several of which may need more at once.
	Saving = Split{Start: 0.3, Burst: 0.45, Regain: 0.25}
)

// Metered spends an allowance, which may change at any time; Split is all that it needs.
type Metered struct {
	Split Split

	budget  Budget
	started bool
}

// Earn credits ordinary requests and the time since the last call.
func (m *Metered) Earn(now time.Time, a Allowance, requests float64) {
	burst := max(1, m.Split.Burst*a.Slack)
	if !m.started {
		m.started = true
		m.budget = NewBudget(burst, m.Split.Start*a.Slack)
	}
	m.budget.Burst = burst
	window := a.Window
	if window <= 0 {
		window = defaultWindow
	}
	m.budget.EarnTime(now, m.Split.Regain*a.Slack/window.Seconds())
	m.budget.Earn(requests, a.Ratio)
}

// Take takes one request beyond the first, or returns false.
func (m *Metered) Take(now time.Time, a Allowance) bool {
	m.Earn(now, a, 0)
	return m.budget.Take()
}
