package cassiabudget

import (
	"slices"
	"time"
)

// MemberCounter counts the members of a list. A member that disappears from the list may still be running, so it is counted for
// another Hold. Only Hold has to be set before use.
type MemberCounter[K comparable] struct {
	// Hold is how long a member is counted after it has disappeared from the list.
	Hold   time.Duration
	listed []K
	// countedUntil holds, for each member that is no longer listed, the time until which it is counted.
	countedUntil map[K]time.Time
}

// List replaces the list of members.
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

// Listed reports whether a member is on the current list.
func (c *MemberCounter[K]) Listed(member K) bool { return slices.Contains(c.listed, member) }

// nextExpiry returns the next time at which Count falls without a new list, or the zero time if it never does.
func (c *MemberCounter[K]) nextExpiry(now time.Time) time.Time {
	var first time.Time
	for _, until := range c.countedUntil {
		if until.After(now) && (first.IsZero() || until.Before(first)) {
			first = until
		}
	}
	return first
}

// Count returns the number of members that are listed or that disappeared from the list less than Hold ago.
func (c *MemberCounter[K]) Count(now time.Time) int {
	for member, until := range c.countedUntil {
		if !now.Before(until) {
			delete(c.countedUntil, member)
		}
	}
	return len(c.listed) + len(c.countedUntil)
}

// Counted returns the members that Count counts.
func (c *MemberCounter[K]) Counted(now time.Time) []K {
	counted := slices.Grow(slices.Clone(c.listed), c.Count(now)-len(c.listed))
	for member := range c.countedUntil {
		counted = append(counted, member)
	}
	return counted
}
