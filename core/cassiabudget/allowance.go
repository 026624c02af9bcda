package cassiabudget

import "time"

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
