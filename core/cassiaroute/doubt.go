package cassiaroute

import (
	"maps"
	"slices"
	"time"

	"cassiasaddle/core/cassiaid"
)

const (
	// ownerAvoid is how long after a sign of silence an owner is ranked last.
	ownerAvoid = time.Second
	// OwnerPause is how long an owner shows signs of silence, and none of life, before it counts as unreachable. Before
	// the first sign a batch was late by more than a resend or a garbage collection takes.
	OwnerPause = 100 * time.Millisecond
	// probeEvery is how often a query of each front may ask unreachable owners.
	probeEvery = 100 * time.Millisecond
)

// doubt is when signs of an owner's silence were first and last seen with no sign of life in between.
type doubt struct{ first, last time.Time }

func (d doubt) stands(now time.Time) bool { return now.Before(d.last.Add(ownerAvoid)) }

// foundAt returns when the owner was found unreachable.
func (m OwnerUnreachable) foundAt(now time.Time) time.Time {
	if m.At.IsZero() {
		return now
	}
	return m.At
}

// doubts are the owners in doubt; those whose doubt is over are dropped with the next sign.
type doubts map[cassiaid.VMName]doubt

func (d doubts) add(owner cassiaid.VMName, now time.Time) {
	maps.DeleteFunc(d, func(_ cassiaid.VMName, x doubt) bool { return !x.stands(now) })
	x, ok := d[owner]
	if !ok {
		x.first = now
	}
	x.last = now
	d[owner] = x
}

// keep drops owners that are no members any more.
func (d doubts) keep(members []Member) {
	maps.DeleteFunc(d, func(owner cassiaid.VMName, _ doubt) bool {
		return !slices.ContainsFunc(members, func(m Member) bool { return m.Name == owner })
	})
}

func (d doubts) has(owner cassiaid.VMName, now time.Time) bool { return d[owner].stands(now) }

// unreachable tells whether the signs go on for longer than a pause.
func (d doubts) unreachable(owner cassiaid.VMName, now time.Time) bool {
	x := d[owner]
	return x.stands(now) && x.last.Sub(x.first) >= OwnerPause
}

// AnyUnreachable is false when Unreachable is false for every VM.
func (t *Table) AnyUnreachable() bool { return len(t.doubts) > 0 }

// Unreachable tells whether a VM has sent nothing for longer than a pause takes, though it had to.
func (t *Table) Unreachable(owner cassiaid.VMName) bool {
	return len(t.doubts) > 0 && t.doubts.unreachable(owner, t.clock.Now())
}

// TakeProbe returns true once in a while for each front.
func (t *Table) TakeProbe(key cassiaid.FrontKey) bool {
	f, now := t.fronts[key], t.clock.Now()
	if f == nil || now.Before(f.probeAt) {
		return false
	}
	f.probeAt = now.Add(probeEvery)
	return true
}

// avoidLast moves owners that could not be reached lately to the end.
func (t *Table) avoidLast(owners []cassiaid.VMName) []cassiaid.VMName {
	now := t.clock.Now()
	ranked := slices.Clone(owners)
	slices.SortStableFunc(ranked, func(a, b cassiaid.VMName) int {
		avoidA, avoidB := t.doubts.has(a, now), t.doubts.has(b, now)
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
