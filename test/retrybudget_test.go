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

// retryBudget is how many requests beyond the first arrival of each a service may get.
type retryBudget struct {
	// ratio is how many for each request that callers sent for the service.
	ratio float64
	// slack is how many more in any window.
	slack  float64
	window time.Duration
}

// envBudget is what the settings of the VMs under test allow.
var envBudget = retryBudget{ratio: 0.2, slack: 54, window: 10 * time.Second}

// worstExcess returns by how many requests a service got more than its budget allows in the worst window, and when that window began;
// it is negative when all windows hold, and no less than a window without requests and repeats has. The requests of a window are those sent in it, in the one before it or in the one that
// began half a window before it, whichever are most.
func (b retryBudget) worstExcess(sent []time.Time, arrivals []cassiastage.Arrival) (float64, time.Time) {
	sent = slices.SortedFunc(slices.Values(sent), time.Time.Compare)
	repeats := repeatedArrivals(arrivals)
	worst, worstAt := -b.slack, time.Time{}
	for i, first := range repeats {
		// The repeats of a window change where one enters it at its end or leaves it at its start.
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

// repeatedArrivals returns when requests arrived that had arrived before, in order of time.
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

// countBetween counts the times of an ordered list in [from, to).
func countBetween(times []time.Time, from, to time.Time) int {
	index := func(at time.Time) int {
		i, _ := slices.BinarySearchFunc(times, at, func(a, b time.Time) int { return cmp.Or(a.Compare(b), 1) })
		return i
	}
	return index(to) - index(from)
}

// TestRetryBudgetJudge: the judge counts what arrives again, and only that, in any window.
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
	c.Check(over, qt.Equals, 1.0, qt.Commentf("a repeat of another window"))
}
