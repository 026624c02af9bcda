package cassiaroute

import (
	"maps"
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
)

const (
	// ownerAvoidDuration is how long after the last report that an owner is unreachable it is ranked behind the other
	// owners.
	ownerAvoidDuration = time.Second
	// OwnerUnreachableAfter is how long reports that an owner is unreachable have to continue, with nothing received
	// from it in between, before Unreachable returns true. A lost connection is reported at once, a silent owner only
	// when its reply is later than a resent packet or a garbage collection would explain.
	OwnerUnreachableAfter = 100 * time.Millisecond
	// probeInterval is the minimum time between two queries of one front that may ask unreachable owners.
	probeInterval = 100 * time.Millisecond
)

// unreachableSpan holds the times of the first and the last report that an owner is unreachable, with nothing
// received from it in between.
type unreachableSpan struct{ first, last time.Time }

func (s unreachableSpan) active(now time.Time) bool {
	return now.Before(s.last.Add(ownerAvoidDuration))
}

// reportedAt returns when the owner was found unreachable: At, or now if At is zero.
func (m OwnerUnreachable) reportedAt(now time.Time) time.Time {
	if m.At.IsZero() {
		return now
	}
	return m.At
}

// unreachableOwners holds a span for each owner reported unreachable; add deletes the spans that are no longer
// active.
type unreachableOwners map[cassiaid.VMName]unreachableSpan

func (u unreachableOwners) add(owner cassiaid.VMName, at time.Time) {
	maps.DeleteFunc(u, func(_ cassiaid.VMName, span unreachableSpan) bool { return !span.active(at) })
	span, ok := u[owner]
	if !ok {
		span.first = at
	}
	span.last = at
	u[owner] = span
}

// retainMembers deletes the owners that are no longer members.
func (u unreachableOwners) retainMembers(members []Member) {
	maps.DeleteFunc(u, func(owner cassiaid.VMName, _ unreachableSpan) bool {
		return !slices.ContainsFunc(members, func(m Member) bool { return m.Name == owner })
	})
}

func (u unreachableOwners) reported(owner cassiaid.VMName, now time.Time) bool {
	return u[owner].active(now)
}

// unreachable reports whether an owner has been reported unreachable for at least OwnerUnreachableAfter.
func (u unreachableOwners) unreachable(owner cassiaid.VMName, now time.Time) bool {
	span := u[owner]
	return span.active(now) && span.last.Sub(span.first) >= OwnerUnreachableAfter
}

// AnyUnreachable returns false only if Unreachable returns false for every VM.
func (t *Table) AnyUnreachable() bool { return len(t.unreachableOwners) > 0 }

// Unreachable reports whether a VM has been reported unreachable for at least OwnerUnreachableAfter, with nothing
// received from it in between, and the last report is less than ownerAvoidDuration old.
func (t *Table) Unreachable(owner cassiaid.VMName) bool {
	return len(t.unreachableOwners) > 0 && t.unreachableOwners.unreachable(owner, t.clock.Now())
}

// TakeReachabilityProbe returns true at most once per probeInterval for each front. A query that gets true may ask
// unreachable owners, to find out whether they can be reached again.
func (t *Table) TakeReachabilityProbe(key cassiaid.FrontKey) bool {
	f, now := t.fronts[key], t.clock.Now()
	if f == nil || now.Before(f.probeAt) {
		return false
	}
	f.probeAt = now.Add(probeInterval)
	return true
}

// rankUnreachableLast returns the owners with those that were recently reported unreachable moved to the end.
func (t *Table) rankUnreachableLast(owners []cassiaid.VMName) []cassiaid.VMName {
	now := t.clock.Now()
	ranked := slices.Clone(owners)
	slices.SortStableFunc(ranked, func(a, b cassiaid.VMName) int {
		avoidA, avoidB := t.unreachableOwners.reported(a, now), t.unreachableOwners.reported(b, now)
		switch {
		case avoidA == avoidB:
			return 0
		case avoidA:
			return 1
		}
		return -1
	})
	return ranked
}
