package cassiaroute

import (
	"maps"
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
)

const (
	// ownerAvoidDuration is how long after a sign of silence an owner is ranked last.
	ownerAvoidDuration = time.Second
	// OwnerPause is how long an owner shows signs of silence, and none of life, before it counts as unreachable. Before
	// the first sign a batch was late by more than a resend or a garbage collection takes.
	OwnerPause = 100 * time.Millisecond
	// probeInterval is how often a query of each front may ask unreachable owners.
	probeInterval = 100 * time.Millisecond
)

// unreachableSpan is when signs of an owner's silence were first and last seen with no sign of life in between.
type unreachableSpan struct{ first, last time.Time }

func (d unreachableSpan) active(now time.Time) bool {
	return now.Before(d.last.Add(ownerAvoidDuration))
}

// reportedAt returns when the owner was found unreachable.
func (m OwnerUnreachable) reportedAt(now time.Time) time.Time {
	if m.At.IsZero() {
		return now
	}
	return m.At
}

// unreachableOwners are the owners in doubt; those whose doubt is over are dropped with the next sign.
type unreachableOwners map[cassiaid.VMName]unreachableSpan

func (d unreachableOwners) add(owner cassiaid.VMName, now time.Time) {
	maps.DeleteFunc(d, func(_ cassiaid.VMName, x unreachableSpan) bool { return !x.active(now) })
	x, ok := d[owner]
	if !ok {
		x.first = now
	}
	x.last = now
	d[owner] = x
}

// retainMembers drops owners that are no members any more.
func (d unreachableOwners) retainMembers(members []Member) {
	maps.DeleteFunc(d, func(owner cassiaid.VMName, _ unreachableSpan) bool {
		return !slices.ContainsFunc(members, func(m Member) bool { return m.Name == owner })
	})
}

func (d unreachableOwners) reported(owner cassiaid.VMName, now time.Time) bool {
	return d[owner].active(now)
}

// unreachable tells whether the signs go on for longer than a pause.
func (d unreachableOwners) unreachable(owner cassiaid.VMName, now time.Time) bool {
	x := d[owner]
	return x.active(now) && x.last.Sub(x.first) >= OwnerPause
}

// AnyUnreachable is false when Unreachable is false for every VM.
func (t *Table) AnyUnreachable() bool { return len(t.unreachableOwners) > 0 }

// Unreachable tells whether a VM has sent nothing for longer than a pause takes, though it had to.
func (t *Table) Unreachable(owner cassiaid.VMName) bool {
	return len(t.unreachableOwners) > 0 && t.unreachableOwners.unreachable(owner, t.clock.Now())
}

// TakeProbe returns true once in a while for each front.
func (t *Table) TakeProbe(key cassiaid.FrontKey) bool {
	f, now := t.fronts[key], t.clock.Now()
	if f == nil || now.Before(f.probeAt) {
		return false
	}
	f.probeAt = now.Add(probeInterval)
	return true
}

// rankUnreachableLast moves owners that could not be reached lately to the end.
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
