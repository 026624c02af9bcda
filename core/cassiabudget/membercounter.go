package cassiabudget

import (
	"slices"
	"time"
)

// Census counts the members of a list that may lack some that go on: one that falls off it is counted for some time more. Hold is
// all that it needs.
type MemberCounter[K comparable] struct {
	// Hold is how long a member counts after it has fallen off the list.
	Hold   time.Duration
	listed []K
	// gone is until when members count that are not listed any more.
	countedUntil map[K]time.Time
}

// List replaces the members that are listed.
func (c *MemberCounter[K]) List(now time.Time, members []K) {
	if c.countedUntil == nil {
		c.countedUntil = make(map[K]time.Time)
	}
	for _, member := range c.listed {
		c.countedUntil[member] = now.Add(c.Hold)
	}
	c.listed = slices.Clone(members)
	for _, member := range members {
		delete(c.countedUntil, member)
	}
}

// Listed tells whether a member is on the list.
func (c *MemberCounter[K]) Listed(member K) bool { return slices.Contains(c.listed, member) }

// due returns when the count falls next, or the zero time.
func (c *MemberCounter[K]) nextExpiry(now time.Time) time.Time {
	var first time.Time
	for _, until := range c.countedUntil {
		if until.After(now) && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	return first
}

// Count returns how many members there may be.
func (c *MemberCounter[K]) Count(now time.Time) int {
	n := len(c.listed)
	for member, until := range c.countedUntil {
		if now.Before(until) {
			n++
		} else {
			delete(c.countedUntil, member)
		}
	}
	return n
}
