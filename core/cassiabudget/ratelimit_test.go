package cassiabudget

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "cassiasaddle/test/cassiaseed"
)

// What a target bears that names a rate: in each borneWindow from borneAfter on, borneFactor times what the rate allows, and
// borneRequests more.
const (
	borneAfter    = 4 * time.Second
	borneWindow   = 4 * time.Second
	borneFactor   = 1.5
	borneRequests = 5
)

const (
	rateStep = 10 * time.Millisecond
	// rateAnswerTime is the time from a request to its answer, which names the limit.
	rateAnswerTime = 20 * time.Millisecond
	// rateListDelay is the time after which a list of members follows a change.
	rateListDelay = time.Second
)

// rateMember is one process of a member that sends to the target.
type rateMember struct {
	limit      RateLimit
	share      Share[int]
	demand     float64
	pending    float64
	heardFirst time.Time
	answers    []time.Time
	// cutUntil is until when the member reads no list and is not on it.
	cutUntil time.Time
}

// rateWorld is a target that names a rate, and the members that send to it.
type rateWorld struct {
	now     time.Time
	rate    Rate
	members []*rateMember
	// joined is when each member was started first, restarted when it was started last.
	joined, restarted []time.Time
	// lists holds the list of members as it was at each step.
	lists    [][]int
	arrivals []time.Time
}

func newRateWorld(rate Rate, demands ...float64) *rateWorld {
	w := &rateWorld{now: time.Unix(1000, 0), rate: rate}
	for _, d := range demands {
		w.start(len(w.members), d)
	}
	return w
}

// start starts a member, or starts it again.
func (w *rateWorld) start(i int, demand float64) {
	m := &rateMember{demand: demand, share: Share[int]{Self: i}}
	if i == len(w.members) {
		w.members = append(w.members, m)
		w.joined, w.restarted = append(w.joined, w.now), append(w.restarted, w.now)
	} else {
		w.members[i], w.restarted[i] = m, w.now
	}
}

// place returns the place of a member as it knows it.
func (w *rateWorld) place(i int) Place {
	m := w.members[i]
	rank := 0
	for _, other := range m.share.Counted(w.now) {
		if other < i {
			rank++
		}
	}
	return m.share.Place(w.now, rank)
}

// step lets all members send for one rateStep.
func (w *rateWorld) step() {
	w.now = w.now.Add(rateStep)
	var listed []int
	for i, m := range w.members {
		if !w.now.Before(m.cutUntil) {
			listed = append(listed, i)
		}
	}
	w.lists = append(w.lists, listed)
	late := w.lists[max(0, len(w.lists)-1-int(rateListDelay/rateStep))]
	for i, m := range w.members {
		if !w.now.Before(m.cutUntil) && len(w.lists)%10 == 0 {
			m.share.List(w.now, late)
		}
		for len(m.answers) > 0 && !w.now.Before(m.answers[0]) {
			m.answers = m.answers[1:]
			m.limit.Observe(w.now, w.place(i), AcceptanceOf([]float64{float64(w.rate)}))
			if m.heardFirst.IsZero() {
				m.heardFirst = w.now
			}
		}
		m.pending = min(m.pending+m.demand*rateStep.Seconds(), 5)
		for m.pending >= 1 && m.limit.Wait(w.now, w.place(i), 0) == 0 {
			m.limit.Take(w.now, w.place(i))
			m.pending--
			m.answers = append(m.answers, w.now.Add(rateAnswerTime))
			if !m.heardFirst.IsZero() && w.now.Sub(m.heardFirst) >= 500*time.Millisecond {
				w.arrivals = append(w.arrivals, w.now)
			}
		}
	}
}

func (w *rateWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

// worst returns the largest number of arrivals in a window by which the target gets more than it bears; negative if it never does.
func (w *rateWorld) worst() float64 {
	worst := -1e9
	first := time.Unix(1000, 0).Add(borneAfter)
	for i, from := range w.arrivals {
		if from.Before(first) {
			continue
		}
		until := from.Add(borneWindow)
		last, _ := slices.BinarySearchFunc(w.arrivals, until, time.Time.Compare)
		worst = max(worst, float64(last-i)-borneFactor*float64(w.rate)*borneWindow.Seconds()-borneRequests)
	}
	return worst
}

// TestMembersTogetherKeepToTheRateOfATarget plays callers that fall on the members unevenly, with pauses, while members are killed,
// join and are cut off from the list and from it.
func TestMembersTogetherKeepToTheRateOfATarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := Rate(rapid.SampledFrom([]float64{0, 0.05, 0.3, 1, 1.4, 3, 8, 26}).Draw(t, "rate"))
		var demands []float64
		for range rapid.IntRange(1, 12).Draw(t, "members") {
			demands = append(demands, rapid.SampledFrom([]float64{0.1, 1, 5, 40}).Draw(t, "demand"))
		}
		w := newRateWorld(rate, demands...)
		for range 12 {
			w.run(time.Duration(rapid.IntRange(100, 6000).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, len(w.members)-1).Draw(t, "member")
			switch rapid.SampledFrom([]string{"kill", "join", "cut", "idle", "busy"}).Draw(t, "event") {
			case "kill":
				w.start(i, w.members[i].demand)
			case "join":
				w.start(len(w.members), 5)
			case "cut":
				w.members[i].cutUntil = w.now.Add(time.Duration(rapid.IntRange(1, 25).Draw(t, "seconds")) * time.Second)
			case "idle":
				for _, m := range w.members {
					m.demand = 0.02
				}
			case "busy":
				for _, m := range w.members {
					m.demand = 20
				}
			}
		}
		if over := w.worst(); over > 0 {
			t.Fatalf("%d members send %.1f requests too many to a target that accepts %v a second", len(w.members), over, rate)
		}
	})
}

// TestManyMembersShareALowRate guards against members that each hold a request ready while callers pause, and send it at once.
func TestManyMembersShareALowRate(t *testing.T) {
	w := newRateWorld(1, slices.Repeat([]float64{1}, 20)...)
	w.run(3 * time.Second)
	for _, m := range w.members {
		m.demand, m.pending = 0, 0
	}
	w.run(40 * time.Second)
	for _, m := range w.members {
		m.demand = 20
	}
	w.run(10 * time.Second)
	qt.Check(t, w.worst() <= 0, qt.IsTrue, qt.Commentf("%.1f requests over what the target bears", w.worst()))
}

// TestMembersCutOffForLongUseLess guards against members that send on with their part when the others do not count them any more.
func TestMembersCutOffForLongUseLess(t *testing.T) {
	w := newRateWorld(26, slices.Repeat([]float64{40}, 12)...)
	w.run(15 * time.Second)
	for _, m := range w.members[:10] {
		m.cutUntil = w.now.Add(time.Hour)
	}
	w.run(40 * time.Second)
	qt.Check(t, w.worst() <= 0, qt.IsTrue, qt.Commentf("%.1f requests over what the target bears", w.worst()))
}

// TestRateOfATargetIsUsed guards against members that leave a part of what the target accepts to each other.
func TestRateOfATargetIsUsed(t *testing.T) {
	for _, test := range []struct {
		rate    Rate
		members int
	}{{1, 9}, {1.4, 7}, {4, 9}, {26, 9}, {26, 1}, {10, 70}} {
		t.Run(fmt.Sprintf("%v a second, %d members", test.rate, test.members), func(t *testing.T) {
			w := newRateWorld(test.rate, slices.Repeat([]float64{40}, test.members)...)
			// New members use less until the others count them.
			w.run(15 * time.Second)
			before := len(w.arrivals)
			w.run(30 * time.Second)
			used := float64(len(w.arrivals)-before) / 30
			qt.Check(t, used >= 0.9*float64(test.rate), qt.IsTrue, qt.Commentf("%.2f of %v requests a second are sent", used, test.rate))
		})
	}
}

// TestLiftedLimitIsNotForgottenAtOnce guards against all members sending to a target at the moment in which it recovers.
func TestLiftedLimitIsNotForgottenAtOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	place := Place{Members: 4}
	var l RateLimit
	l.Observe(now, place, Acceptance{State: AcceptanceLimited, Rate: 8})
	now = now.Add(5 * time.Second)
	l.Observe(now, place, Acceptance{State: AcceptanceUnlimited})
	c.Check(l.Rate(now, place), qt.Equals, Rate(2))
	now = now.Add(rampInterval)
	c.Check(l.Rate(now, place), qt.Equals, Rate(4))
	l.Observe(now, place, Acceptance{State: AcceptanceUnlimited})
	now = now.Add(rampTime)
	c.Check(l.Limited(now), qt.IsFalse)
	c.Check(l.Wait(now, place, 100), qt.Equals, time.Duration(0))
}

// TestMembersWithoutAPartHearOfALiftedLimit guards against members that may not send to a target, and so never hear that they may.
func TestMembersWithoutAPartHearOfALiftedLimit(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	place := Place{Members: 9, Rank: 8}
	var l RateLimit
	l.Observe(now, place, Acceptance{State: AcceptanceLimited, Rate: 1})
	c.Assert(l.Rate(now, place), qt.Equals, Rate(0))
	wait := l.Wait(now.Add(turnInterval), place, 0)
	c.Assert(wait <= 2*time.Duration(place.Members)*turnInterval, qt.IsTrue, qt.Commentf("%v", wait))
	now = now.Add(turnInterval + wait)
	c.Assert(l.Wait(now, place, 0), qt.Equals, time.Duration(0))
	c.Check(l.Take(now, place), qt.IsFalse)
	c.Check(l.Wait(now, place, 0) > 0, qt.IsTrue)
}

// TestMalformedAndMissingStatementsLeaveTheLimit guards against a limit that ends without the target's word.
func TestMalformedAndMissingStatementsLeaveTheLimit(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	place := Place{Members: 1}
	var l RateLimit
	l.Observe(now, place, Acceptance{State: AcceptanceLimited, Rate: 2})
	for _, state := range []AcceptanceState{AcceptanceUnknown, AcceptanceMalformed} {
		l.Observe(now, place, Acceptance{State: state})
		c.Check(l.Rate(now, place), qt.Equals, Rate(2))
	}
}

// TestReturnedRequestMayBeSentAgain: a request that has not reached the target does not count.
func TestReturnedRequestMayBeSentAgain(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	place := Place{Members: 1}
	var l RateLimit
	l.Observe(now, place, Acceptance{State: AcceptanceLimited, Rate: 1})
	now = now.Add(time.Second)
	c.Assert(l.Wait(now, place, 0), qt.Equals, time.Duration(0))
	c.Assert(l.Take(now, place), qt.IsTrue)
	c.Check(l.Wait(now, place, 1) > time.Second, qt.IsTrue)
	l.Return()
	c.Check(l.Wait(now, place, 0), qt.Equals, time.Duration(0))
}
