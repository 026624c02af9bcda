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
	// shareLag is the longest that news of the list take, and the longest between two of them.
	shareLag      = 3200 * time.Millisecond
	shareLease    = 8 * time.Second
	shareRenewal  = 2700 * time.Millisecond
	shareStopTime = 6 * time.Second
	shareLength   = 70 * time.Second
)

// shareWorld is a list with leases, and members that spend all that they can.
type shareSimulation struct {
	allowance Allowance
	now       time.Time
	// entries are the members that the list holds, with the end of each one's lease.
	entries map[string]time.Time
	// history is the list of each step.
	history       [][]string
	listDownUntil time.Time
	members       []*shareMember
	// spent is how many repeats all members sent in each step.
	spentPerStep []int
	// calm is true while nothing is to be repeated, so that members save up what they can.
	calm bool
	// part returns the part that a member plans with.
	part func(m *shareMember) float64
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

func newShareSimulation(members int, part func(*shareMember) float64) *shareSimulation {
	w := &shareSimulation{allowance: Allowance{Slack: 540, Window: 10 * time.Second}, now: time.Unix(1000, 0),
		entries: make(map[string]time.Time), part: part}
	for i := range members {
		w.members = append(w.members, &shareMember{name: fmt.Sprintf("vm-%d", i)})
	}
	return w
}

func (m *shareMember) start() {
	m.up, m.stopAt, m.renewAt, m.knownList = true, time.Time{}, time.Time{}, nil
	m.share, m.budget = Share[string]{Self: m.name}, Metered{Split: Saving}
}

func (m *shareMember) end(startAt time.Time) { m.up, m.startAt = false, startAt }

// step plays one step for all members.
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
		part := w.allowance.Part(0, w.part(m))
		m.budget.Earn(w.now, part, 0)
		for !w.calm && m.budget.Take(w.now, part) {
			spent++
		}
	}
	w.spentPerStep = append(w.spentPerStep, spent)
	w.now = w.now.Add(shareStep)
}

// talk has a member renew its entry and hear of the list as it was a while ago.
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

// worst returns the most that was spent in a window.
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

// disturb draws what happens in a step, if anything does.
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

// TestSharesHoldWhateverTheListSays: members that spend all they can stay inside the slack in any window, while they are killed,
// stopped, turned away and taken off the list, and others join.
func TestSharesHoldWhateverTheListSays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(3, 9).Draw(t, "members")
		var w *shareSimulation
		w = newShareSimulation(members, func(m *shareMember) float64 { return m.share.Part(w.now) })
		for _, m := range w.members {
			m.lag = time.Duration(rapid.IntRange(0, int(shareLag/shareStep)).Draw(t, "lag")) * shareStep
		}
		for range int(shareLength / shareStep) {
			w.step()
			w.injectFault(t)
		}
		if worst := w.maxSpentInWindow(); float64(worst) > w.allowance.Slack {
			t.Fatalf("%d repeats in a window, %v allowed", worst, w.allowance.Slack)
		}
	})
}

// playShares has members save up all they can, disturbs them, and returns the most that was spent in a window afterwards.
func simulateShares(members int, disturb func(w *shareSimulation)) (worst int, allowed float64) {
	const savedAfter, spendAfter, length = 30 * time.Second, 60 * time.Second, 90 * time.Second
	var w *shareSimulation
	w = newShareSimulation(members, func(m *shareMember) float64 { return m.share.Part(w.now) })
	w.calm = true
	start := w.now
	until := func(end time.Duration) {
		for w.now.Sub(start) < end {
			w.step()
		}
	}
	until(savedAfter)
	disturb(w)
	until(spendAfter)
	w.calm = false
	until(length)
	return w.maxSpentInWindow(), w.allowance.Slack
}

// TestUnlistedMembersStop: members that lost touch with the list for long leave the slack to those that are on it.
func TestUnlistedMembersStop(t *testing.T) {
	worst, allowed := simulateShares(6, func(w *shareSimulation) {
		for _, m := range w.members[:3] {
			m.partitionedUntil = w.now.Add(time.Hour)
			delete(w.entries, m.name)
		}
	})
	if float64(worst) > allowed {
		t.Fatalf("%d repeats in a window, %v allowed", worst, allowed)
	}
}

// TestUnlistedMembersAreCounted: members that fall off the list and go on still have their part for some time.
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
		t.Fatalf("%d repeats in a window, %v allowed", worst, allowed)
	}
}

// TestNewMembersAssumeMore: members that take the place of others, which they never saw, leave these what they may spend.
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
		t.Fatalf("%d repeats in a window, %v allowed", worst, allowed)
	}
}

// TestShareIsDueInTheFuture: a member off the list does not ask for a time that has passed.
func TestShareIsDueInTheFuture(t *testing.T) {
	now := time.Unix(1000, 0)
	s := Share[string]{Self: "a"}
	s.List(now, []string{"a", "b"})
	s.List(now, nil)
	for range 40 {
		now = now.Add(time.Second)
		if due := s.Due(now); !due.IsZero() && !due.After(now) {
			t.Fatalf("due %v before now", now.Sub(due))
		}
	}
}

// TestSharesAreSpent: members on a list that does not change use most of the slack.
func TestSharesAreSpent(t *testing.T) {
	var w *shareSimulation
	w = newShareSimulation(7, func(m *shareMember) float64 { return m.share.Part(w.now) })
	for range int(shareLength / shareStep) {
		w.step()
	}
	// What is regained in a window, but for the part of a repeat that each member has left over.
	const least = 0.8 * 0.35
	if worst := w.maxSpentInWindow(); float64(worst) < least*w.allowance.Slack {
		t.Fatalf("%d repeats in the fullest window of %v allowed", worst, w.allowance.Slack)
	}
}
