package cassiaquota

import (
	"time"

	"cassiasaddle/core/cassiacatalog"
)

const (
	// DefaultWindow is the window where the settings name none.
	DefaultWindow = 5 * time.Second
	// maxParts is the number of parts of a quota. While the coordinator of one part is lost, the others still grant two thirds of the rate;
	// quotas are usually 1.6 times what a team needs.
	maxParts = 3
	// slackPerPart is the slack that each part needs: 1 for a bucket that must hold one token at least, 2 for initial tokens, and the rest for
	// late use and the reserve. With less slack there are fewer parts.
	slackPerPart = 6.5
	// maxLifetime is the longest lifetime of a grant. It covers the time between the requests of a VM that has more than one per second.
	maxLifetime = 700 * time.Millisecond
	// minLifetime allows for the reply to a request for grants, which counts toward the lifetime.
	minLifetime = 100 * time.Millisecond
	// queueAllowance is the time between the admission of a request and its run that the limits account for.
	queueAllowance = 250 * time.Millisecond
	// initialTokens is the number of initial tokens of a part that a window can contain; see Standing.
	initialTokens = 2
	// maxReserve is the number of VMs that may use the reserve of a team, one request in each window. More VMs would leave less for grants.
	maxReserve = 8
	// reserveShare is the share of the slack that the reserve may use.
	reserveShare = 0.25
)

// Settings bound the requests of each team in any window over all VMs: its quota for the window times 1 + Excess, plus Slack.
type Settings struct {
	// Window is DefaultWindow if it is zero.
	Window time.Duration
	Excess float64
	Slack  float64
}

func (s Settings) window() time.Duration {
	if s.Window <= 0 {
		return DefaultWindow
	}
	return s.Window
}

// Bound returns the number of requests of a team that may run in any window.
func (s Settings) Bound(q cassiacatalog.Quota) float64 {
	return (float64(q.Rate)*s.window().Seconds()+q.Burst)*(1+s.Excess) + s.Slack
}

// Limits is how a quota is enforced within the bound.
type Limits struct {
	// Parts is the number of parts; Rate (tokens per second), Capacity and Initial are the token bucket of each.
	Parts    int
	Rate     float64
	Capacity float64
	// Initial is the number of tokens that a coordinator adds once, a window after it became the coordinator.
	Initial float64
	// Lifetime is how long a grant may be used, from the time at which it was asked for.
	Lifetime time.Duration
	// Reserve is the number of VMs that may serve one request in each window without a coordinator.
	Reserve int
}

// Limits returns the limits of a quota. In any window, each part admits Capacity, its initial tokens, and Rate for the window, the
// lifetime and the queueAllowance; together with the reserve this is at most the bound.
func (s Settings) Limits(q cassiacatalog.Quota) Limits {
	window, rate, bound := s.window().Seconds(), float64(q.Rate), s.Bound(q)
	parts := max(1, min(int(s.Slack/slackPerPart), maxParts))
	l := Limits{Parts: parts, Capacity: max(1, q.Burst/float64(parts)), Lifetime: maxLifetime}
	capacity := float64(parts) * l.Capacity
	initial, reserve := float64(initialTokens*parts), reserveShare*s.Slack
	room := bound - rate*window - capacity
	if late := max(room-initial-reserve, room/2); rate > 0 {
		affordable := time.Duration(min(late/rate, window) * float64(time.Second))
		l.Lifetime = max(minLifetime, min(affordable-queueAllowance, maxLifetime))
	}
	exposed := window + (l.Lifetime + queueAllowance).Seconds()
	room = bound - capacity - rate*exposed
	if room >= initial {
		l.Initial = 1
		room -= initial
	}
	if room < 0 {
		// Only with little slack and excess: less than the rate is granted rather than more than the bound.
		rate = max(0, (bound-capacity)/exposed)
	}
	l.Reserve = max(0, min(int(min(room, reserve)), maxReserve))
	if left := room - float64(l.Reserve); left > 0 {
		// Requests of a team with a low rate come unevenly, and buckets of one token each would refuse many of them.
		l.Capacity += left / float64(parts)
	}
	l.Rate = rate / float64(parts)
	return l
}
