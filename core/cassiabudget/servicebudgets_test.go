package cassiabudget

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiasaddle/core/cassiaid"
)

// newServiceBudgets returns the budgets of an aggregator when a number of zones have one.
func newServiceBudgets(allowance Allowance, zones int) ServiceBudgets[string] {
	s := ServiceBudgets[string]{Allowance: allowance}
	s.SetZones(time.Unix(0, 0), zoneNames(zones))
	return s
}

func zoneNames(n int) []cassiaid.Zone {
	names := make([]cassiaid.Zone, n)
	for i := range names {
		names[i] = cassiaid.Zone(rune('a' + i))
	}
	return names
}

// simulateAggregators runs one aggregator per zone for a time. First attempts arrive at a rate per second over all zones, and each
// aggregator sends every extra request that its budget allows. Unless replaceEvery is zero, each aggregator is replaced by a new
// one at that interval. It returns the largest number of extra requests in a window beyond Ratio times the first attempts, and the
// total of extra requests.
func simulateAggregators(allowance Allowance, zones int, perSecond float64, replaceEvery, length time.Duration) (worst float64, extras int) {
	const step = 10 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(0, 0)
	vms := make([]ServiceBudgets[string], zones)
	for i := range vms {
		vms[i] = newServiceBudgets(allowance, zones)
	}
	var firstsPerStep, extrasPerStep []float64
	for at := time.Duration(0); at < length; at += step {
		first, extra := 0.0, 0.0
		for i := range vms {
			if replaceEvery > 0 && at > 0 && (at+time.Duration(i)*time.Second)%replaceEvery == 0 {
				vms[i] = newServiceBudgets(allowance, zones)
			}
			if random.Float64() < perSecond*step.Seconds()/float64(zones) {
				first++
				vms[i].Admit(now, "s", false)
			}
			for vms[i].Admit(now, "s", true) {
				extra++
			}
		}
		firstsPerStep, extrasPerStep = append(firstsPerStep, first), append(extrasPerStep, extra)
		extras += int(extra)
		now = now.Add(step)
	}
	window := int(allowance.Window / step)
	for from := range firstsPerStep {
		requests, beyond := 0.0, 0.0
		for i := from; i < min(len(firstsPerStep), from+window); i++ {
			requests += firstsPerStep[i]
			beyond += extrasPerStep[i]
		}
		worst = max(worst, beyond-allowance.Ratio*requests)
	}
	return worst, extras
}

// TestSharedBudgetsStayInsideTheSlack: aggregators that always use up their budgets stay within the slack in any window, also when
// they are replaced one after the other.
func TestSharedBudgetsStayInsideTheSlack(t *testing.T) {
	c := qt.New(t)
	allowance := Allowance{Ratio: 0.2, Slack: 180, Window: 10 * time.Second}
	for _, zones := range []int{1, 3, 4} {
		for _, perSecond := range []float64{0, 5, 45, 200} {
			for _, replaceEvery := range []time.Duration{0, 7 * time.Second, 3 * time.Second} {
				worst, _ := simulateAggregators(allowance, zones, perSecond, replaceEvery, 40*time.Second)
				c.Check(worst <= allowance.Slack, qt.IsTrue,
					qt.Commentf("%d zones, %v requests/s, replaced every %v: %v extra requests beyond the ratio", zones, perSecond, replaceEvery, worst))
			}
		}
	}
}

// TestSharedBudgetsCoverLostAnswers sends 45 requests a second. The budgets must cover an extra request for two fifths of them:
// one fifth that lose their answer and one fifth that are hedged.
func TestSharedBudgetsCoverLostAnswers(t *testing.T) {
	c := qt.New(t)
	const zones, perSecond, seconds = 3, 45, 30
	allowance := Allowance{Ratio: 0.2, Slack: 180, Window: 10 * time.Second}
	_, extras := simulateAggregators(allowance, zones, perSecond, 0, seconds*time.Second)
	c.Check(extras >= 2*perSecond*seconds/5, qt.IsTrue, qt.Commentf("%d extra attempts", extras))
}

// TestSendersTakeTurns: two VMs of a zone that are its aggregator in turn stay within the slack together. If the budget of a VM
// were refilled while the other VM sends, the two would exceed the slack.
func TestSendersTakeTurns(t *testing.T) {
	allowance := Allowance{Ratio: 0.2, Slack: 180, Window: 10 * time.Second}
	const step, length = 10 * time.Millisecond, 40 * time.Second
	for _, turn := range []time.Duration{time.Second, 3 * time.Second, 7 * time.Second} {
		c := qt.New(t)
		senders := []ServiceBudgets[string]{newServiceBudgets(allowance, 1), newServiceBudgets(allowance, 1)}
		now := time.Unix(0, 0)
		var spent []int
		for at := time.Duration(0); at < length; at += step {
			n := 0
			sender := &senders[int(at/turn)%len(senders)]
			for sender.Admit(now, "s", true) {
				n++
			}
			spent = append(spent, n)
			now = now.Add(step)
		}
		worst, sum, window := 0, 0, int(allowance.Window/step)
		for i, n := range spent {
			sum += n
			if i >= window {
				sum -= spent[i-window]
			}
			worst = max(worst, sum)
		}
		c.Check(float64(worst) <= allowance.Slack, qt.IsTrue, qt.Commentf("turns of %v: %d extra requests", turn, worst))
	}
}

// TestZonesOffTheListAreCounted: a zone that disappears from the list may still serve its own callers, so its part stays reserved.
func TestZonesOffTheListAreCounted(t *testing.T) {
	c := qt.New(t)
	allowance := Allowance{Ratio: 0.2, Slack: 180, Window: 10 * time.Second}
	const zones, step = 3, 10 * time.Millisecond
	senders := make([]ServiceBudgets[string], zones)
	now := time.Unix(0, 0)
	for i := range senders {
		senders[i] = newServiceBudgets(allowance, zones)
		senders[i].Admit(now, "s", false)
	}
	now = now.Add(time.Minute)
	for i := range senders {
		senders[i].SetZones(now, zoneNames(zones)[i:i+1])
	}
	spent := 0
	for range int(allowance.Window / step) {
		for i := range senders {
			for senders[i].Admit(now, "s", true) {
				spent++
			}
		}
		now = now.Add(step)
	}
	c.Check(float64(spent) <= allowance.Slack, qt.IsTrue, qt.Commentf("%d extra requests", spent))
}

// TestRestartsGrantNothing: VMs that always use up their budgets stay within the slack even if they restart up to 20 times in a
// window. A budget that started with tokens would exceed it.
func TestRestartsGrantNothing(t *testing.T) {
	const vms = 7
	for _, split := range []Split{BurstySplit, SteadySplit} {
		for _, restarts := range []int{0, 1, 2, 5, 20} {
			c := qt.New(t)
			allowance := Allowance{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
			scaled := allowance.Scale(1, 1.0/vms)
			spent := 0
			now := time.Unix(0, 0)
			spend := func(m *Metered) {
				for m.Take(now, scaled) {
					spent++
				}
			}
			var budgets [vms]Metered
			for i := range budgets {
				budgets[i].Split = split
				budgets[i].Earn(now, scaled, 0)
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
			c.Check(float64(spent) <= allowance.Slack, qt.IsTrue, qt.Commentf("%+v, %d restarts: %d extra requests", split, restarts, spent))
		}
	}
}
