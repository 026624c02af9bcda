package cassiabudget

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// play sends first attempts at a rate to the VMs of some zones and has each of them spend all it can, for a time. Each zone's VM
// is replaced by a new one now and then. It returns the most extra attempts, less the allowed part of the requests, in a window.
func play(allowance Allowance, zones int, perSecond float64, replaceEvery, length time.Duration) (worst float64, extras int) {
	const step = 10 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(0, 0)
	vms := make([]Shared[string], zones)
	for i := range vms {
		vms[i] = Shared[string]{Allowance: allowance, Zones: zones}
	}
	var firsts, seconds []float64
	for at := time.Duration(0); at < length; at += step {
		first, second := 0.0, 0.0
		for i := range vms {
			if replaceEvery > 0 && at > 0 && (at+time.Duration(i)*time.Second)%replaceEvery == 0 {
				vms[i] = Shared[string]{Allowance: allowance, Zones: zones}
			}
			if random.Float64() < perSecond*step.Seconds()/float64(zones) {
				first++
				vms[i].Admit(now, "s", false)
			}
			for vms[i].Admit(now, "s", true) {
				second++
			}
		}
		firsts, seconds = append(firsts, first), append(seconds, second)
		extras += int(second)
		now = now.Add(step)
	}
	window := int(allowance.Window / step)
	for from := range firsts {
		requests, beyond := 0.0, 0.0
		for i := from; i < min(len(firsts), from+window); i++ {
			requests += firsts[i]
			beyond += seconds[i]
		}
		worst = max(worst, beyond-allowance.Ratio*requests)
	}
	return worst, extras
}

// TestSharedBudgetsStayInsideTheSlack: VMs that spend all they can stay inside what a service may get beyond the first of each
// request in any window, also when they are replaced in turn.
func TestSharedBudgetsStayInsideTheSlack(t *testing.T) {
	c := qt.New(t)
	allowance := Allowance{Ratio: 0.2, Slack: 180, Window: 10 * time.Second}
	for _, zones := range []int{1, 3, 4} {
		for _, perSecond := range []float64{0, 5, 45, 200} {
			for _, replaceEvery := range []time.Duration{0, 7 * time.Second, 3 * time.Second} {
				worst, _ := play(allowance, zones, perSecond, replaceEvery, 40*time.Second)
				c.Check(worst <= allowance.Slack, qt.IsTrue,
					qt.Commentf("%d zones, %v requests/s, replaced every %v: %v beyond the ratio", zones, perSecond, replaceEvery, worst))
			}
		}
	}
}

// TestSharedBudgetsCoverLostAnswers plays 45 requests a second of which a fifth lose their answer and a fifth are hedged: all of
// these are paid for, as the allowance has room for them.
func TestSharedBudgetsCoverLostAnswers(t *testing.T) {
	c := qt.New(t)
	const zones, perSecond, seconds = 3, 45, 30
	allowance := Allowance{Ratio: 0.2, Slack: 180, Window: 10 * time.Second}
	_, extras := play(allowance, zones, perSecond, 0, seconds*time.Second)
	c.Check(extras >= 2*perSecond*seconds/5, qt.IsTrue, qt.Commentf("%d extra attempts", extras))
}

// TestRestartsGrantNothing: VMs that each plan with their part, spend all they can at once, and start any number of times in a
// window, get no more than the slack beside the ratio.
func TestRestartsGrantNothing(t *testing.T) {
	const vms = 7
	for _, split := range []Split{Saving, Steady} {
		for _, restarts := range []int{0, 1, 2, 5, 20} {
			c := qt.New(t)
			allowance := Allowance{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
			part := allowance.Part(1, 1.0/vms)
			spent := 0
			now := time.Unix(0, 0)
			spend := func(m *Metered) {
				for m.Take(now, part) {
					spent++
				}
			}
			var budgets [vms]Metered
			for i := range budgets {
				budgets[i].Split = split
				budgets[i].Earn(now, part, 0)
			}
			now = now.Add(time.Minute)
			for round := range restarts + 1 {
				for i := range budgets {
					spend(&budgets[i])
					if round < restarts {
						budgets[i] = Metered{Split: split}
						spend(&budgets[i])
					}
				}
				now = now.Add(allowance.Window / time.Duration(restarts+2))
			}
			for i := range budgets {
				spend(&budgets[i])
			}
			c.Check(float64(spent) <= allowance.Slack, qt.IsTrue, qt.Commentf("%+v, %d restarts: %d beyond the first", split, restarts, spent))
		}
	}
}
