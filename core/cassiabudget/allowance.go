package cassiabudget

import "time"

// defaultWindow is the window of an Allowance whose Window is not set.
const defaultWindow = 10 * time.Second

// Allowance limits the extra requests that all VMs together send to one service: in any Window at most Ratio times the number
// of first attempts, plus Slack.
type Allowance struct {
	// Ratio is the number of extra requests allowed per first attempt.
	Ratio float64
	// Slack is the number of extra requests allowed in any Window regardless of the number of first attempts.
	Slack float64
	// Window is the period that Slack applies to; zero means ten seconds.
	Window time.Duration
}

// Scale returns the allowance with Ratio and Slack multiplied by the given fractions.
func (a Allowance) Scale(ratio, slack float64) Allowance {
	return Allowance{Ratio: ratio * a.Ratio, Slack: slack * a.Slack, Window: a.Window}
}

// windows returns the duration of n windows.
func (a Allowance) windows(n float64) time.Duration {
	window := a.Window
	if window <= 0 {
		window = defaultWindow
	}
	return time.Duration(n * float64(window))
}
