package cassiabudget

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "cassiasaddle/test/cassiaseed"
)

const (
	shareStep = 100 * time.Millisecond
	// shareLag is the longest delay with which a member sees a change of the list.
	shareLag      = 3200 * time.Millisecond
	shareLease    = 8 * time.Second
	shareRenewal  = 2700 * time.Millisecond
	shareStopTime = 6 * time.Second
	shareLength   = 70 * time.Second
)

// shareSimulation simulates a list of members with leases, and members that send every extra request that their budgets allow.
type shareSimulation struct {
	allowance Allowance
	now       time.Time
	// entries holds the end of the lease of each listed member.
	entries map[string]time.Time
	// history holds the listed members at each step.
	history       [][]string
	listDownUntil time.Time
	members       []*shareMember
	// spentPerStep is the number of extra requests that all members sent at each step.
	spentPerStep []int
	// calm is true while no request needs a hedge or retry, so that budgets fill up.
	calm bool
	// fraction returns the fraction of the allowance that a member uses.
	fraction func(m *shareMember) float64
}

type shareMember struct {
	name             string
	lag              time.Duration
	up               bool
	startAt          time.Time
	stopAt           time.Time
	partitionedUntil time.Time
	renewAt          time.Time
	knownList        []string
	share            Share[string]
	budget           Metered
}

func newShareSimulation(members int, fraction func(*shareMember) float64) *shareSimulation {
	w := &shareSimulation{allowance: Allowance{Slack: 540, Window: 10 * time.Second}, now: time.Unix(1000, 0),
		entries: make(map[string]time.Time), fraction: fraction}
	for i := range members {
		w.members = append(w.members, &shareMember{name: fmt.Sprintf("vm-%d", i)})
	}
	return w
}

func (m *shareMember) start() {
	m.up, m.stopAt, m.renewAt, m.knownList = true, time.Time{}, time.Time{}, nil
	m.share, m.budget = Share[string]{Self: m.name}, Metered{Split: BurstySplit}
}

func (m *shareMember) end(startAt time.Time) { m.up, m.startAt = false, startAt }

// step simulates one step of all members.
func (w *shareSimulation) step() {
	maps.DeleteFunc(w.entries, func(_ string, until time.Time) bool { return w.now.After(until) })
	w.history = append(w.history, slices.Sorted(maps.Keys(w.entries)))
	spent := 0
	for _, m := range w.members {
		if !m.up && !w.now.Before(m.startAt) {
			m.start()
		}
		if m.up && !m.stopAt.IsZero() && w.now.After(m.stopAt) {
			m.end(w.now)
		}
		if !m.up {
			continue
		}
		if w.now.After(m.partitionedUntil) && w.now.After(w.listDownUntil) {
			w.syncWithList(m)
		}
		scaled := w.allowance.Scale(0, w.fraction(m))
		m.budget.Earn(w.now, scaled, 0)
		for !w.calm && m.budget.Take(w.now, scaled) {
			spent++
		}
	}
	w.spentPerStep = append(w.spentPerStep, spent)
	w.now = w.now.Add(shareStep)
}

// syncWithList renews a member's lease and gives the member the list as it was m.lag ago.
func (w *shareSimulation) syncWithList(m *shareMember) {
	if !w.now.Before(m.renewAt) && m.stopAt.IsZero() {
		m.renewAt = w.now.Add(shareRenewal)
		if _, listed := w.entries[m.name]; listed || m.knownList == nil || !slices.Contains(m.knownList, m.name) {
			w.entries[m.name] = w.now.Add(shareLease)
		}
	}
	list := w.history[max(0, len(w.history)-1-int(m.lag/shareStep))]
	if m.knownList != nil && slices.Equal(list, m.knownList) {
		m.share.Confirm(w.now)
		return
	}
	m.knownList = slices.Clone(list)
	m.share.List(w.now, list)
}

// maxSpentInWindow returns the largest number of extra requests in any window.
func (w *shareSimulation) maxSpentInWindow() int {
	most, sum, steps := 0, 0, int(w.allowance.Window/shareStep)
	for i, n := range w.spentPerStep {
		sum += n
		if i >= steps {
			sum -= w.spentPerStep[i-steps]
		}
		most = max(most, sum)
	}
	return most
}

// injectFault draws one event in about a twentieth of the steps: a member fails, stops, is partitioned, loses its lease or joins,
// the list becomes unavailable, or the need for extra requests starts or ends.
func (w *shareSimulation) injectFault(t *rapid.T) {
	if rapid.IntRange(0, 19).Draw(t, "calm") > 0 {
		return
	}
	pick := func() *shareMember { return w.members[rapid.IntRange(0, len(w.members)-1).Draw(t, "member")] }
	span := func(most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, "span")) * shareStep
	}
	switch rapid.SampledFrom([]string{"kill", "killAll", "stop", "away", "revoke", "down", "join", "calm", "calm"}).Draw(t, "event") {
	case "kill":
		if m := pick(); m.up {
			m.end(w.now.Add(span(30)))
		}
	case "killAll":
		for _, m := range w.members {
			if m.up {
				m.end(w.now.Add(span(5)))
			}
		}
	case "stop":
		if m := pick(); m.up && m.stopAt.IsZero() {
			delete(w.entries, m.name)
			m.stopAt = w.now.Add(shareStopTime)
		}
	case "away":
		m := pick()
		m.partitionedUntil = w.now.Add(span(300))
		if rapid.Bool().Draw(t, "revoked") {
			delete(w.entries, m.name)
		}
	case "revoke":
		delete(w.entries, pick().name)
	case "down":
		w.listDownUntil = w.now.Add(span(150))
	case "calm":
		w.calm = !w.calm
	case "join":
		if len(w.members) < 12 {
			w.members = append(w.members, &shareMember{name: fmt.Sprintf("vm-%d", len(w.members)), lag: span(int(shareLag / shareStep)), startAt: w.now})
		}
	}
}

// TestSharesHoldWhateverTheListSays: the extra requests of all members stay within the slack in any window, even if each member
// sends as many as its budget allows, while members are killed, stopped, partitioned from the list or removed from it, and others
// join.
func TestSharesHoldWhateverTheListSays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(3, 9).Draw(t, "members")
		var w *shareSimulation
		w = newShareSimulation(members, func(m *shareMember) float64 { return m.share.Fraction(w.now) })
		for _, m := range w.members {
			m.lag = time.Duration(rapid.IntRange(0, int(shareLag/shareStep)).Draw(t, "lag")) * shareStep
		}
		for range int(shareLength / shareStep) {
			w.step()
			w.injectFault(t)
		}
		if worst := w.maxSpentInWindow(); float64(worst) > w.allowance.Slack {
			t.Fatalf("%d extra requests in a window, %v allowed", worst, w.allowance.Slack)
		}
	})
}

// simulateShares lets the budgets of all members fill up, calls disturb, and returns the largest number of extra requests in any
// window, and the slack.
func simulateShares(members int, disturb func(w *shareSimulation)) (worst int, allowed float64) {
	const disturbAfter, spendAfter, length = 30 * time.Second, 60 * time.Second, 90 * time.Second
	var w *shareSimulation
	w = newShareSimulation(members, func(m *shareMember) float64 { return m.share.Fraction(w.now) })
	w.calm = true
	start := w.now
	until := func(end time.Duration) {
		for w.now.Sub(start) < end {
			w.step()
		}
	}
	until(disturbAfter)
	disturb(w)
	until(spendAfter)
	w.calm = false
	until(length)
	return w.maxSpentInWindow(), w.allowance.Slack
}

// TestUnlistedMembersStop guards against members that keep spending after they lost the connection to the list, when the listed
// members already use the whole slack.
func TestUnlistedMembersStop(t *testing.T) {
	worst, allowed := simulateShares(6, func(w *shareSimulation) {
		for _, m := range w.members[:3] {
			m.partitionedUntil = w.now.Add(time.Hour)
			delete(w.entries, m.name)
		}
	})
	if float64(worst) > allowed {
		t.Fatalf("%d extra requests in a window, %v allowed", worst, allowed)
	}
}

// TestUnlistedMembersAreCounted: members that disappear from the list but keep running keep their share for some time, so the
// others have to count them.
func TestUnlistedMembersAreCounted(t *testing.T) {
	worst, allowed := simulateShares(6, func(w *shareSimulation) {
		w.calm = false
		const rounds, every = 20, 500 * time.Millisecond
		for range rounds {
			for range int(every / shareStep) {
				w.step()
			}
			clear(w.entries)
		}
	})
	if float64(worst) > allowed {
		t.Fatalf("%d extra requests in a window, %v allowed", worst, allowed)
	}
}

// TestNewMembersAssumeMore: new members replace members that they never saw on the list and that may still spend; the shares
// of the new members must leave room for them.
func TestNewMembersAssumeMore(t *testing.T) {
	worst, allowed := simulateShares(6, func(w *shareSimulation) {
		for i, m := range w.members {
			m.partitionedUntil = w.now.Add(time.Hour)
			delete(w.entries, m.name)
			w.members = append(w.members, &shareMember{name: fmt.Sprintf("new-%d", i), startAt: w.now})
		}
		w.calm = false
	})
	if float64(worst) > allowed {
		t.Fatalf("%d extra requests in a window, %v allowed", worst, allowed)
	}
}

// TestShareIsDueInTheFuture: NextChange returns no time in the past for a member that is not listed.
func TestShareIsDueInTheFuture(t *testing.T) {
	now := time.Unix(1000, 0)
	s := Share[string]{Self: "a"}
	s.List(now, []string{"a", "b"})
	s.List(now, nil)
	for range 40 {
		now = now.Add(time.Second)
		if next := s.NextChange(now); !next.IsZero() && !next.After(now) {
			t.Fatalf("NextChange is %v in the past", now.Sub(next))
		}
	}
}

// TestSharesAreSpent: members of an unchanging list use most of their refill.
func TestSharesAreSpent(t *testing.T) {
	var w *shareSimulation
	w = newShareSimulation(7, func(m *shareMember) float64 { return m.share.Fraction(w.now) })
	for range int(shareLength / shareStep) {
		w.step()
	}
	// The refill of a window (0.35 of the slack), less the fraction of a token that each member has left over.
	const least = 0.8 * 0.35
	if worst := w.maxSpentInWindow(); float64(worst) < least*w.allowance.Slack {
		t.Fatalf("%d extra requests in the fullest window, want at least 0.28 of the slack of %v", worst, w.allowance.Slack)
	}
}
