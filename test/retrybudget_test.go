package test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/platform/cassiastage"
)

// retryBudget limits how many repeated requests may arrive at the targets of a service within any window: ratio times the
// requests that callers sent, plus slack.
type retryBudget struct {
	// ratio is the number of repeated requests allowed for each request that callers sent.
	ratio float64
	// slack is the number of further repeated requests allowed in any window.
	slack  float64
	window time.Duration
}

// envBudget is the retry budget in the settings of the VMs under test.
var envBudget = retryBudget{ratio: 0.2, slack: 54, window: 10 * time.Second}

// worstExcess returns by how many requests the repeated requests exceed the budget in the worst window, and the start of that
// window. The excess is at most 0 if all windows are within the budget, and at least -slack, the value of a window without any
// requests. The number of requests of a window is the greatest of those sent in it, in the window before it and in the window
// that starts half a window earlier.
func (b retryBudget) worstExcess(sent []time.Time, arrivals []cassiastage.Arrival) (float64, time.Time) {
	sent = slices.SortedFunc(slices.Values(sent), time.Time.Compare)
	repeats := repeatedArrivals(arrivals)
	worst, worstAt := -b.slack, time.Time{}
	for i, first := range repeats {
		// The number of repeats in a sliding window changes only where one enters at its end or leaves at its start.
		for _, from := range []time.Time{first, repeats[i].Add(time.Nanosecond - b.window)} {
			got := float64(countBetween(repeats, from, from.Add(b.window)))
			requests := 0
			for _, earlier := range []time.Duration{0, b.window / 2, b.window} {
				start := from.Add(-earlier)
				requests = max(requests, countBetween(sent, start, start.Add(b.window)))
			}
			if over := got - b.ratio*float64(requests) - b.slack; over > worst {
				worst, worstAt = over, from
			}
		}
	}
	return worst, worstAt
}

// repeatedArrivals returns the times, in order, at which a request arrived that had already arrived before.
func repeatedArrivals(arrivals []cassiastage.Arrival) []time.Time {
	arrivals = slices.SortedFunc(slices.Values(arrivals), func(a, b cassiastage.Arrival) int { return a.At.Compare(b.At) })
	var repeats []time.Time
	seen := make(map[string]bool)
	for _, a := range arrivals {
		if seen[a.Request] {
			repeats = append(repeats, a.At)
		}
		seen[a.Request] = true
	}
	return repeats
}

// countBetween returns how many of the sorted times are in [from, to).
func countBetween(times []time.Time, from, to time.Time) int {
	index := func(at time.Time) int {
		i, _ := slices.BinarySearchFunc(times, at, func(a, b time.Time) int { return cmp.Or(a.Compare(b), 1) })
		return i
	}
	return index(to) - index(from)
}

// TestRetryBudgetJudge requires that worstExcess counts only repeated arrivals, in every window.
func TestRetryBudgetJudge(t *testing.T) {
	c := qt.New(t)
	budget := retryBudget{ratio: 0.5, slack: 2, window: 10 * time.Second}
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	var sent []time.Time
	var arrivals []cassiastage.Arrival
	for i := range 4 {
		sent = append(sent, at(float64(i)))
		arrivals = append(arrivals, cassiastage.Arrival{Request: fmt.Sprint(i), At: at(float64(i))})
	}
	over, _ := budget.worstExcess(sent, arrivals)
	c.Check(over, qt.Equals, -2.0, qt.Commentf("no repeats"))
	for i := range 5 {
		arrivals = append(arrivals, cassiastage.Arrival{Request: "0", At: at(4 + 0.1*float64(i))})
	}
	over, from := budget.worstExcess(sent, arrivals)
	c.Check(over, qt.Equals, 1.0, qt.Commentf("five repeats for four requests"))
	c.Check(!from.After(at(4)) && from.Add(budget.window).After(at(4.4)), qt.IsTrue)
	arrivals = append(arrivals, cassiastage.Arrival{Request: "1", At: at(16)})
	over, _ = budget.worstExcess(sent, arrivals)
	c.Check(over, qt.Equals, 1.0, qt.Commentf("a repeat in a later window"))
}
