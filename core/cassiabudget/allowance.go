package cassiabudget

import "time"

const (
	// The slack of an allowance is divided into what a budget holds at first, what it saves up and what it regains in a window.
	// Together they leave a part of the slack to those who start anew in the same window.
	startShare  = 0.1
	burstShare  = 0.15
	refillShare = 0.75
	// defaultWindow is the window of an allowance that names none.
	defaultWindow = 10 * time.Second
)

// Allowance is how many requests beyond the first of each a service may get.
type Allowance struct {
	// Ratio is how many for each ordinary request.
	Ratio float64
	// Slack is how many more in any Window.
	Slack float64
	// Window is ten seconds when zero.
	Window time.Duration
}

// Part returns the allowance of one who plans with a part of the ratio and a part of the slack.
func (a Allowance) Part(ratio, slack float64) Allowance {
	return Allowance{Ratio: ratio * a.Ratio, Slack: slack * a.Slack, Window: a.Window}
}

// Metered spends an allowance, which may change at any time; the zero value is ready.
type Metered struct {
	budget  Budget
	started bool
}

// Earn credits ordinary requests and the time since the last call.
func (m *Metered) Earn(now time.Time, a Allowance, requests float64) {
	burst := max(1, burstShare*a.Slack)
	if !m.started {
		m.started = true
		m.budget = NewBudget(burst, startShare*a.Slack)
	}
	m.budget.Burst = burst
	window := a.Window
	if window <= 0 {
		window = defaultWindow
	}
	m.budget.EarnTime(now, refillShare*a.Slack/window.Seconds())
	m.budget.Earn(requests, a.Ratio)
}

// Take takes one request beyond the first, or returns false.
func (m *Metered) Take(now time.Time, a Allowance) bool {
	m.Earn(now, a, 0)
	return m.budget.Take()
}
