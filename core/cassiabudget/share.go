package cassiabudget

import "time"

const (
	// Spans of a Share in windows of its allowance. A member that loses touch with the list stops after fenceWindows; the others
	// count it for holdWindows, until no window has both what it spent and what they spend in its place. Those that have joined
	// for less than settleWindows, which is longer than the fence by more than news of the list take, may never have seen it.
	fenceWindows  = 0.5
	settleWindows = 1
	holdWindows   = 2
	// unseenFactor is how many members one that has just joined assumes for each that it sees.
	unseenMemberFactor = 2
)

// Share is the part of an allowance that one of several members may plan with, who do not talk about it. Each learns from a
// list who the others are; lists are late, and may lack members that go on. Self and Window are all that it needs.
type Share[K comparable] struct {
	// Self is the member that plans.
	Self K
	// Window is that of the allowance, ten seconds when zero.
	Window  time.Duration
	members MemberCounter[K]
	// confirmed is when Self was last known to be listed, since is from when on it was without a long gap.
	confirmedAt, listedSince time.Time
}

// List replaces the members that are listed.
func (s *Share[K]) List(now time.Time, members []K) {
	s.members.Hold = s.windows(holdWindows)
	s.members.List(now, members)
	s.Confirm(now)
}

// Confirm tells that the list is still what it was.
func (s *Share[K]) Confirm(now time.Time) {
	if !s.members.Listed(s.Self) {
		return
	}
	if s.confirmedAt.IsZero() || now.Sub(s.confirmedAt) > s.windows(settleWindows) {
		s.listedSince = now
	}
	s.confirmedAt = now
}

// Members returns how many members there may be; 0 while no list is known.
func (s *Share[K]) Members(now time.Time) int { return s.members.Count(now) }

// Part returns the part of the allowance that Self may plan with; 0 while others may not count Self.
func (s *Share[K]) Part(now time.Time) float64 {
	if s.confirmedAt.IsZero() || now.Sub(s.confirmedAt) > s.windows(fenceWindows) {
		return 0
	}
	members := float64(max(1, s.Members(now)))
	if now.Sub(s.listedSince) < s.windows(settleWindows) {
		members *= unseenMemberFactor
	}
	return 1 / members
}

// Due returns when Part changes next unless a list or its confirmation comes, or the zero time.
func (s *Share[K]) Due(now time.Time) time.Time {
	due := s.members.nextExpiry(now)
	for _, at := range []time.Time{s.listedSince.Add(s.windows(settleWindows)), s.confirmedAt.Add(s.windows(fenceWindows) + 1)} {
		if at.After(now) && (due.IsZero() || at.Before(due)) {
			due = at
		}
	}
	return due
}

func (s *Share[K]) windows(windows float64) time.Duration {
	return Allowance{Window: s.Window}.windows(windows)
}
