package cassiaquota

import (
	"math"
	"time"

	"cassiasaddle/core/cassiacatalog"
	"cassiasaddle/core/cassiaclock"
	"cassiasaddle/core/cassiaid"
)

const (
	// spareLevel is the share of a bucket above which it grants more than is needed at once. What is below is left for bursts.
	spareLevel = 0.75
	// maxReturnSpread is the period over which refused callers are spread. Callers wait for no longer.
	maxReturnSpread = 10 * time.Second
	// roundingError is more than the rounding errors of a refill.
	roundingError = 1e-6
)

// Demand is what a VM asks a coordinator for.
type Demand struct {
	Team cassiaid.TeamName
	// Needed is the number of requests that wait, Wanted that with those that are expected to follow.
	Needed, Wanted int
}

// Grant is what a coordinator grants for a team.
type Grant struct {
	Team  cassiaid.TeamName
	Count int
	// Lifetime is how long the grant may be used, from the time at which it was asked for.
	Lifetime time.Duration
	// RetryAfter is when the first caller that was refused may come back; the next ones follow at the rate of the team.
	RetryAfter time.Duration
}

// Coordinator grants requests of the parts of quotas that this VM coordinates. It is not safe for concurrent use.
type Coordinator struct {
	settings Settings
	standing *Standing
	teams    *cassiacatalog.Teams
	accounts map[cassiaid.TeamName]*account
}

// account is the state of one team.
type account struct {
	buckets [maxParts]bucket
	// returnAt is when the next caller that is refused may come back.
	returnAt cassiaclock.BootTime
}

// bucket is the token bucket of one part.
type bucket struct {
	// since is the time since which this VM coordinates the part, as Standing tells it.
	since    cassiaclock.BootTime
	filledAt cassiaclock.BootTime
	level    float64
	// initial is true once the initial tokens were added.
	initial bool
}

// NewCoordinator returns a coordinator without teams.
func NewCoordinator(settings Settings, standing *Standing) *Coordinator {
	return &Coordinator{settings: settings, standing: standing, accounts: make(map[cassiaid.TeamName]*account)}
}

// SetTeams replaces the teams with their quotas, which are in force at once.
func (c *Coordinator) SetTeams(now cassiaclock.BootTime, teams *cassiacatalog.Teams) {
	for name, a := range c.accounts {
		if team := c.teams.Team(name); team != nil {
			c.refill(now, a, name, c.settings.Limits(team.Quota))
		}
		if team := teams.Team(name); team == nil || !team.Quota.Limited() {
			delete(c.accounts, name)
		}
	}
	c.teams = teams
}

// Serve returns the grants for those of the demands whose teams have a quota of which this VM coordinates a part.
func (c *Coordinator) Serve(now cassiaclock.BootTime, demands []Demand) []Grant {
	var grants []Grant
	for _, d := range demands {
		team := c.teams.Team(d.Team)
		if team == nil || !team.Quota.Limited() {
			continue
		}
		limits := c.settings.Limits(team.Quota)
		a := c.accounts[d.Team]
		if a == nil {
			a = &account{}
			c.accounts[d.Team] = a
		}
		if parts := c.refill(now, a, d.Team, limits); len(parts) > 0 {
			grants = append(grants, a.serve(now, d, limits, parts))
		}
	}
	return grants
}

// refill adds tokens for the time since the last call, and returns the buckets of the parts that this VM coordinates.
func (c *Coordinator) refill(now cassiaclock.BootTime, a *account, team cassiaid.TeamName, limits Limits) []*bucket {
	var parts []*bucket
	for part := range limits.Parts {
		since, ok := c.standing.coordinates(now, slotOf(team), part)
		if !ok {
			continue
		}
		b := &a.buckets[part]
		if b.since != since {
			*b = bucket{since: since, filledAt: since.Add(knowledgeLimit)}
		}
		if now > b.filledAt {
			b.level += limits.Rate * now.Sub(b.filledAt).Seconds()
			b.filledAt = now
		}
		if exposed := c.settings.window() + maxLifetime + queueAllowance; !b.initial && c.standing.asOf.Sub(since) >= max(exposed, knowledgeLimit) {
			b.initial = true
			b.level += limits.Initial
		}
		b.level = min(b.level, limits.Capacity)
		parts = append(parts, b)
	}
	return parts
}

// serve grants what is needed as far as there are tokens, and more while the buckets are nearly full.
func (a *account) serve(now cassiaclock.BootTime, d Demand, limits Limits, parts []*bucket) Grant {
	g := Grant{Team: d.Team, Lifetime: limits.Lifetime}
	for _, b := range parts {
		take := min(d.Needed-g.Count, whole(b.level))
		b.level -= float64(take)
		g.Count += take
	}
	if refused := d.Needed - g.Count; refused > 0 {
		g.RetryAfter = a.reserveReturn(now, refused, limits, parts)
		return g
	}
	for _, b := range parts {
		take := min(d.Wanted-g.Count, whole(b.level-spareLevel*limits.Capacity))
		if take > 0 {
			b.level -= float64(take)
			g.Count += take
		}
	}
	return g
}

func whole(level float64) int { return max(0, int(math.Floor(level+roundingError))) }

// reserveReturn returns when the first of some refused callers may come back, and leaves as many tokens to them as they are. A request that
// is refused was refused by all parts, so each part counts it at the rate of the team.
func (a *account) reserveReturn(now cassiaclock.BootTime, refused int, limits Limits, parts []*bucket) time.Duration {
	earliest := now.Add(maxReturnSpread)
	for _, b := range parts {
		earliest = min(earliest, now.Add(limits.untilToken(b.level)))
	}
	if a.returnAt < earliest || a.returnAt > earliest.Add(maxReturnSpread) {
		a.returnAt = earliest
	}
	first := a.returnAt.Sub(now)
	a.returnAt = a.returnAt.Add(limits.returnDelay(refused))
	return first
}

// untilToken returns how long it takes until a bucket has a whole token, at most maxReturnSpread.
func (l Limits) untilToken(level float64) time.Duration {
	if l.Rate <= 0 {
		return maxReturnSpread
	}
	return time.Duration(min(max(0, 1-level)/l.Rate*float64(time.Second), float64(maxReturnSpread)))
}

// returnDelay returns how much later than the first one a refused caller may come back, after a number of others. It wraps around at
// maxReturnSpread, so that callers stay spread however many there are.
func (l Limits) returnDelay(ahead int) time.Duration {
	if l.Rate <= 0 {
		return maxReturnSpread
	}
	seconds := float64(ahead) / (l.Rate * float64(l.Parts))
	return time.Duration(math.Mod(seconds, maxReturnSpread.Seconds()) * float64(time.Second))
}
