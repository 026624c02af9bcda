package cassiabudget

import "time"

// defaultWindow is the window of an allowance that names none.
const defaultWindow = 10 * time.Second

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

// windows returns the time that a number of windows lasts.
func (a Allowance) windows(n float64) time.Duration {
	window := a.Window
	if window <= 0 {
		window = defaultWindow
	}
	return time.Duration(n * float64(window))
}
